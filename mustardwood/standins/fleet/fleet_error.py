"""A fleet that can't be used."""

from mustardwood import errors


class FleetError(errors.MustardwoodError):
    """A child process did not start, or did not answer in time."""

    code = "fleet_error"
