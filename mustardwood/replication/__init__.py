"""Replication of the configuration among the platform and the VMs.

`ConfigurationReplica` decides which version is in force on one VM, and `Apply`
decides how an operator's document is written to the platform. Neither does
I/O. The design is described in docs/design/configuration.md.
"""

from mustardwood.replication.apply import Apply
from mustardwood.replication.apply_command import ApplyCommand
from mustardwood.replication.apply_command import ReadPlatform
from mustardwood.replication.apply_command import WritePlatform
from mustardwood.replication.apply_outcome import ApplyOutcome
from mustardwood.replication.configuration_replica import BOOT_TIMEOUT
from mustardwood.replication.configuration_replica import ConfigurationReplica
from mustardwood.replication.replica_command import Adopt
from mustardwood.replication.replica_command import Push
from mustardwood.replication.replica_command import Repair
from mustardwood.replication.replica_command import ReplicaCommand

__all__ = [
    "Adopt",
    "Apply",
    "ApplyCommand",
    "ApplyOutcome",
    "BOOT_TIMEOUT",
    "ConfigurationReplica",
    "Push",
    "ReadPlatform",
    "Repair",
    "ReplicaCommand",
    "WritePlatform",
]
