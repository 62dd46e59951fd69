"""The process that speaks with the platform and the operators."""
