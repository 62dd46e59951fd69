"""The error of a fleet whose processes did not start."""

from mustardwood import errors


class FleetError(errors.MustardwoodError):
    """A child process did not start, or did not answer in time.

    `Fleet.apply` raises it too if the command fails.
    """

    code = "fleet_error"
