"""Entry point of ``mustardwood-agent``."""

import random
import typing

from mustardwood import messages
from mustardwood import runtime
from mustardwood import settings as settings_module
from mustardwood import timing
from mustardwood.agent import agent
from mustardwood.keyvalue import http_key_value_service
from mustardwood.links import pynng_link
from mustardwood.vmlist import http_vm_list


def build_agent(settings: settings_module.Settings, reactor: typing.Any,
                clock: timing.Clock) -> agent.Agent:
    """Returns the agent with its link and its clients of the platform."""
    link = pynng_link.PynngLink.from_settings(settings, messages.Role.AGENT,
                                              clock)
    service = http_key_value_service.HttpKeyValueService.from_settings(
        settings, reactor, clock)
    vm_list = http_vm_list.HttpVmList.from_settings(settings, reactor)
    return agent.Agent(settings, reactor, clock, link, service, vm_list,
                       random.SystemRandom())


def main() -> None:
    """Runs the agent process."""
    runtime.run_command("agent", build_agent, _needs_tls)


def _needs_tls(settings: settings_module.Settings) -> bool:
    return settings.platform_url.startswith("https:")


if __name__ == "__main__":
    main()
