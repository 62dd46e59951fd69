"""The precedence among configuration documents."""

from mustardwood import configuration


def is_newer(candidate: configuration.VersionedDocument,
             present: configuration.VersionedDocument | None) -> bool:
    """Returns whether a document takes precedence over the one in force.

    The document with the higher version does. Different documents with the same
    version exist only after the platform lost a write that it had confirmed;
    then the greater apply id decides, so that all VMs choose the same document
    without exchanging messages.

    Args:
        candidate: A document that was received.
        present: The document in force, or None.

    Examples:
        >>> one = configuration.VersionedDocument(1, "a", "{}")
        >>> two = configuration.VersionedDocument(2, "a", "{}")
        >>> is_newer(two, one), is_newer(one, two), is_newer(one, None)
        (True, False, True)
    """
    if present is None:
        return True
    return _precedence_key(candidate) > _precedence_key(present)


def _precedence_key(
        document: configuration.VersionedDocument) -> tuple[int, str]:
    return document.version, document.apply_id
