"""The adapter: hosts many balancers behind the simulator's wire."""
