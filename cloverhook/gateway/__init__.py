"""The gateway: the daemon for fleets whose backend servers come and go at run time.

Each module names its layer in its docstring, like the modules of the package above.  The gateway
imports little, because the memory of every process is paid for on every VM.
"""
