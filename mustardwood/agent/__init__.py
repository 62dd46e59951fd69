"""The process that communicates with the platform and the operators."""
