"""cloverhook: a load balancer for servers whose load shifts in milliseconds.

The modules are flat and each belongs to one of four layers, named in its docstring: state,
protocol, coordination and transport.  A module imports only from its own layer and those before
it.
"""

__version__ = "0.1.0"
