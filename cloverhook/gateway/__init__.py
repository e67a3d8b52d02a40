"""The gateway: the daemon for fleets whose backend servers come and go at run time.

Each module states its layer in its docstring, like the modules of the parent package.  The gateway
imports few modules, because the memory that a process uses is paid for on every VM.
"""
