"""Tests of the policy benchmark."""
