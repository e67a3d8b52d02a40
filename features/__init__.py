"""Behaviour tests, run by behave; `python -m features.run` runs them all."""
