"""Tests of the agents in simulated time."""

from mustardwood.benchmarks.capacity import agent_fleet
from mustardwood.benchmarks.capacity import sized_document

_VMS = 30
_COPIES = 3
"""Maximum number of document copies sent per VM for one change."""


def test_configuration_change_sends_few_copies_of_the_document():
    fleet = agent_fleet.AgentFleet(_VMS, seed=1)
    document = sized_document.make_document(60)
    fleet.write_configuration(1, document)
    fleet.start()
    fleet.reactor.run(8.0)
    assert fleet.is_in_force(1)
    before = sum(each.sent_bytes for each in fleet.agent_links.values())
    fleet.write_configuration(2, document)
    fleet.reactor.run(3.0)
    assert fleet.is_in_force(2)
    sent = sum(each.sent_bytes for each in fleet.agent_links.values()) - before
    # The compressed document is about 19,500 bytes.
    assert sent < _COPIES * 19_500 * _VMS


def test_lost_vm_is_detected_by_all_and_no_live_vm_is_declared_dead():
    fleet = agent_fleet.AgentFleet(_VMS, seed=1)
    fleet.write_configuration(1, sized_document.make_document(60))
    fleet.start()
    fleet.reactor.run(5.0)
    fleet.kill("vm-3")
    fleet.reactor.run(20.0)
    assert fleet.count_vms_seeing_dead("vm-3") == _VMS - 1
    assert fleet.count_falsely_dead() == 0
