"""Encoding of engine profiles in the updates between VMs."""

import collections.abc

import msgspec

from mustardwood import decoding
from mustardwood import profiles
from mustardwood.peers import peer_update

_MICROSECONDS = 1_000_000
_NANOSECONDS = 1_000_000_000
_SHARES = 10_000
"""Parts into which the output share is divided."""
_MAX_BYTES = 8_192
"""Maximum size of the profiles in a received report; those sent are smaller."""

_Reports = collections.abc.Iterable[profiles.ProfileReport]


def encode_profiles(reports: _Reports) -> msgspec.Raw:
    """Returns the encoded profiles."""
    encoded = [_encode(each) for each in reports]
    return msgspec.Raw(msgspec.msgpack.encode(encoded))


def decode_profiles(data: msgspec.Raw) -> list[profiles.ProfileReport]:
    """Returns the profiles of a report.

    Args:
        data: The encoded profiles.

    Raises:
        ValueError: If they can't be decoded.
    """
    encoded = bytes(data)
    if len(encoded) > _MAX_BYTES:
        raise ValueError(f"the profiles have {len(encoded)} bytes")
    try:
        decoded = decoding.decode_msgpack(encoded,
                                          list[peer_update.ServiceProfile])
        return [_decode(each) for each in decoded]
    except OverflowError as error:
        raise ValueError(str(error)) from error


def _encode(report: profiles.ProfileReport) -> peer_update.ServiceProfile:
    profile = report.profile
    return peer_update.ServiceProfile(
        report.service, round(profile.prefill_rate),
        round(profile.base_time * _MICROSECONDS),
        round(profile.step_time * _NANOSECONDS),
        round(profile.stream_step_time * _NANOSECONDS),
        round(profile.context_step_time * _NANOSECONDS),
        round(profile.chunk_time * _MICROSECONDS),
        round(profile.output_share * _SHARES), round(report.step_weight),
        round(report.prefill_weight), round(report.output_weight))


def _decode(encoded: peer_update.ServiceProfile) -> profiles.ProfileReport:
    profile = profiles.EngineProfile(
        prefill_rate=float(encoded.prefill_rate),
        base_time=encoded.base_us / _MICROSECONDS,
        step_time=encoded.step_ns / _NANOSECONDS,
        stream_step_time=encoded.stream_step_ns / _NANOSECONDS,
        context_step_time=encoded.context_step_ns / _NANOSECONDS,
        chunk_time=encoded.chunk_us / _MICROSECONDS,
        output_share=encoded.output_share / _SHARES)
    return profiles.ProfileReport(encoded.service, profile,
                                  float(encoded.step_samples),
                                  float(encoded.prefill_samples),
                                  float(encoded.output_samples))
