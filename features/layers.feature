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

  Scenario: Only the adapter knows the names of the users' platform
    Given the modules of the package
    Then none of them holds a name of the users' platform
    And the adapter holds these names in less than a tenth of the product's lines
