"""lemonlead: a lookup router and release judge."""
