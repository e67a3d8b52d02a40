Feature: Layers and bounds of the package
  A module names its layer in its docstring and imports only from its own layer or a lower one.

  Scenario: Every module keeps to its layer
    Given the modules of the package
    Then each names one of the layers state, protocol, coordination, transport
    And none imports from a higher layer

  Scenario: An import from a higher layer is found
    Given a module of layer "state" that imports one of layer "transport"
    Then the import is reported

  Scenario: The package stays within the bounds of the machines
    Given the modules of the package
    Then none uses threads, child processes, shared memory or another event loop
