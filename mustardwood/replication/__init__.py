"""The agreement on the configuration's version.

`ConfigurationReplica` decides what is in force on one VM, and `Apply` carries
an operator's document to the platform; both without I/O. See
docs/design/configuration.md.
"""

from mustardwood.replication.apply import Apply
from mustardwood.replication.apply_command import ApplyCommand
from mustardwood.replication.apply_command import ReadPlatform
from mustardwood.replication.apply_command import WritePlatform
from mustardwood.replication.apply_outcome import ApplyOutcome
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
    "ConfigurationReplica",
    "Push",
    "ReadPlatform",
    "Repair",
    "ReplicaCommand",
    "WritePlatform",
]
