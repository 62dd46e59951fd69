"""The demo that ``make demo`` runs: a small fleet on one machine."""
