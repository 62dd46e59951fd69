"""A run of a whole small fleet on one machine, by ``make demo``."""
