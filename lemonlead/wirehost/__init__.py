"""Hosts many balancers for a simulator, which it talks to in binary frames over standard input and output."""
