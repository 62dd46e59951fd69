"""Stand-in for the platform: its key-value service and VM list."""

from mustardwood.standins.platform.faults import Faults
from mustardwood.standins.platform.platform_site import PlatformSite
from mustardwood.standins.platform.store import Store
from mustardwood.standins.platform.vm_records import VmRecords

__all__ = ["Faults", "PlatformSite", "Store", "VmRecords"]
