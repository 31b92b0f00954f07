"""Measures how the cost of each role grows with a size, and fits a line to the points.

docs/capacity/slopes.json holds the results, and `lemonlead capacity fleet` works with them.
"""
