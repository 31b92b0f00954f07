"""lemonlead: a request router and release judge."""
