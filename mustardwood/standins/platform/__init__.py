"""Stand-in of the platform: key-value service and list of VMs."""

from mustardwood.standins.platform.faults import Faults
from mustardwood.standins.platform.platform_site import PlatformSite
from mustardwood.standins.platform.store import Store
from mustardwood.standins.platform.vm_records import VmRecords

__all__ = ["Faults", "PlatformSite", "Store", "VmRecords"]
