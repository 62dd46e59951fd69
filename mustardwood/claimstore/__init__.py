"""Claims kept in the platform's key-value service."""

from mustardwood.claimstore.hourly_lease import HourlyLease
from mustardwood.claimstore.key_value_claim_store import KeyValueClaimStore
from mustardwood.claimstore.write_rate_limiter import WriteRateLimiter

__all__ = ["HourlyLease", "KeyValueClaimStore", "WriteRateLimiter"]
