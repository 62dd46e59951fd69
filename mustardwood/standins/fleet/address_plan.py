"""IP addresses of the processes of a fleet."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class AddressPlan:
    """Assigns addresses in one loopback network to the processes.

    Attributes:
        network: First three numbers of the addresses.

    Examples:
        >>> plan = AddressPlan("127.90.0")
        >>> plan.platform, plan.find_engine(1), plan.find_vm(2)
        ('127.90.0.1', '127.90.0.11', '127.90.0.102')
    """

    network: str

    @property
    def platform(self) -> str:
        """Address of the platform stand-in."""
        return f"{self.network}.1"

    def find_engine(self, number: int) -> str:
        """Returns the address of an engine, numbered from 1 to 69."""
        return f"{self.network}.{10 + number}"

    def find_service(self, number: int) -> str:
        """Returns the address of a plain service, numbered from 1 to 19."""
        return f"{self.network}.{80 + number}"

    def find_vm(self, number: int) -> str:
        """Returns the address of an entry VM, numbered from 1 to 150."""
        return f"{self.network}.{100 + number}"
