"""cloverhook: a load balancer for backend servers whose load changes within milliseconds.

The modules of this package each belong to one of four layers, which their docstrings name: state,
protocol, coordination and transport, in this order.  A module imports only from its own layer and
the layers before it.
"""

__version__ = "0.1.0"
