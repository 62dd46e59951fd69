"""The scheduler: the process that owns and schedules cells."""
