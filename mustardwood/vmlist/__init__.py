"""The platform's list of VMs."""

from mustardwood.vmlist.vm_list import VmList
from mustardwood.vmlist.vm_record import VmRecord

__all__ = ["VmList", "VmRecord"]
