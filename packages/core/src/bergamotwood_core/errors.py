"""Numbered result codes and the exception hierarchy."""

from enum import IntEnum

from bergamotwood_core.states import Run


class Code(IntEnum):
    """Result codes; `docs/ERRORS.md` holds the table for operators."""

    MALFORMED_REQUEST = 1001
    BODY_TOO_LARGE = 1002
    HEADERS_TOO_LARGE = 1003
    UNKNOWN_MODEL = 1004
    KEY_REQUIRED = 1005
    BODY_INCOMPLETE = 1006
    SENDER_TOO_SLOW = 1007
    UNKNOWN_PATH = 1008
    METHOD_NOT_ALLOWED = 1009
    UNKNOWN_SERVICE = 1010
    SESSION_INVALID = 1011
    UNAUTHENTICATED = 1101
    FORBIDDEN = 1102
    MODEL_NOT_ALLOWED = 1103
    WORKSPACE_LIMIT = 1201
    OVERLOADED = 1202
    DEADLINE_EXCEEDED = 1203
    CONFIG_STALE = 1301
    VERSION_WITHDRAWN = 1302
    NO_ENDPOINT = 1303
    DRAINING = 1304
    QUARANTINED = 1305
    SUSPENDED = 1306
    OUT_OF_REACH = 1307
    EVACUATED = 1308
    KEY_CONFLICT = 1401
    IN_PROGRESS = 1402
    OUTCOME_UNKNOWN = 1403
    KEY_EXPIRED = 1404
    ANSWER_NOT_KEPT = 1405
    LEDGER_UNAVAILABLE = 1406
    ENDPOINT_FAILED = 1501
    STREAM_BROKEN = 1502
    STREAM_SILENT = 1503
    ANSWER_TOO_LARGE = 1504
    TICKET_CONFLICT = 1601
    TICKET_STALE = 1602
    TICKET_INVALID = 1603
    TICKET_UNKNOWN = 1604
    NO_QUORUM = 1605
    NOT_LEADER = 1606
    LEVEL_NOT_IN_EFFECT = 1607
    BUILD_TOO_OLD = 1608
    ANNOUNCEMENT_INVALID = 1701
    SETTINGS_INVALID = 1801
    LOG_CORRUPT = 1802
    INTERNAL = 1900


# HTTP status for each code (RFC 9110).
HTTP_STATUS: dict[Code, int] = {
    Code.MALFORMED_REQUEST: 400,
    Code.BODY_TOO_LARGE: 413,
    Code.HEADERS_TOO_LARGE: 431,
    Code.UNKNOWN_MODEL: 404,
    Code.KEY_REQUIRED: 400,
    Code.BODY_INCOMPLETE: 400,
    Code.SENDER_TOO_SLOW: 408,
    Code.UNKNOWN_PATH: 404,
    Code.METHOD_NOT_ALLOWED: 405,
    Code.UNKNOWN_SERVICE: 404,
    Code.SESSION_INVALID: 400,
    Code.UNAUTHENTICATED: 401,
    Code.FORBIDDEN: 403,
    Code.MODEL_NOT_ALLOWED: 403,
    Code.WORKSPACE_LIMIT: 429,
    Code.OVERLOADED: 503,
    Code.DEADLINE_EXCEEDED: 504,
    Code.CONFIG_STALE: 503,
    Code.VERSION_WITHDRAWN: 409,
    Code.NO_ENDPOINT: 503,
    Code.DRAINING: 503,
    Code.QUARANTINED: 422,
    Code.SUSPENDED: 503,
    Code.OUT_OF_REACH: 503,
    Code.EVACUATED: 503,
    Code.KEY_CONFLICT: 409,
    Code.IN_PROGRESS: 409,
    Code.OUTCOME_UNKNOWN: 502,
    Code.KEY_EXPIRED: 409,
    Code.ANSWER_NOT_KEPT: 409,
    Code.LEDGER_UNAVAILABLE: 503,
    Code.ENDPOINT_FAILED: 502,
    Code.STREAM_BROKEN: 502,
    Code.STREAM_SILENT: 504,
    Code.ANSWER_TOO_LARGE: 502,
    Code.TICKET_CONFLICT: 409,
    Code.TICKET_STALE: 409,
    Code.TICKET_INVALID: 422,
    Code.TICKET_UNKNOWN: 404,
    Code.NO_QUORUM: 503,
    Code.NOT_LEADER: 503,
    Code.LEVEL_NOT_IN_EFFECT: 503,
    Code.BUILD_TOO_OLD: 503,
    Code.ANNOUNCEMENT_INVALID: 400,
    Code.SETTINGS_INVALID: 500,
    Code.LOG_CORRUPT: 500,
    Code.INTERNAL: 500,
}


# Retry delay sent to callers of a replica whose build is too old: the time in which
# they find another replica.
BUILD_RETRY_SECONDS = 1.0


class BergamotwoodError(Exception):
    """Base class of all exceptions of this project.

    Parameters
    ----------
    detail : str
        Readable description of what went wrong and where.
    code : Code, optional
        Result code; defaults to the one of the class.
    run : Run, optional
        Whether the request ran; defaults to the one of the class.
    retry_after : float, optional
        Seconds after which the caller should retry.
    """

    code = Code.INTERNAL
    run = Run.MAY_HAVE_RUN

    def __init__(
        self,
        detail: str,
        code: Code | None = None,
        run: Run | None = None,
        retry_after: float | None = None,
    ) -> None:
        super().__init__(detail)
        self.detail = detail
        self.retry_after = retry_after
        if code is not None:
            self.code = code
        if run is not None:
            self.run = run

    @property
    def status(self) -> int:
        """HTTP status of the code."""
        return HTTP_STATUS[self.code]


class RequestError(BergamotwoodError):
    """The caller's request cannot be accepted."""

    code = Code.MALFORMED_REQUEST
    run = Run.NOT_RUN


class AuthorizationError(BergamotwoodError):
    """The caller is not authenticated or not authorized."""

    code = Code.UNAUTHENTICATED
    run = Run.NOT_RUN


class RefusedError(BergamotwoodError):
    """A valid request is not run at this time."""

    code = Code.OVERLOADED
    run = Run.NOT_RUN


class IdempotencyError(BergamotwoodError):
    """An idempotency key cannot be used again in this way."""

    code = Code.KEY_CONFLICT
    run = Run.NOT_RUN


class EndpointError(BergamotwoodError):
    """An endpoint failed while it ran the request."""

    code = Code.ENDPOINT_FAILED
    run = Run.MAY_HAVE_RUN


class TicketError(BergamotwoodError):
    """A ticket was refused.

    Parameters
    ----------
    detail : str
        Readable summary.
    code : Code
        Reason for the refusal.
    faults : tuple of str
        Each fault with its place in the ticket.
    """

    code = Code.TICKET_INVALID
    run = Run.NOT_RUN

    def __init__(
        self, detail: str, code: Code | None = None, faults: tuple[str, ...] = ()
    ) -> None:
        super().__init__(detail, code)
        self.faults = faults


class ReplicationError(BergamotwoodError):
    """A log group cannot commit a command."""

    code = Code.NO_QUORUM


class NotLeaderError(ReplicationError):
    """The replica does not lead; nothing was appended.

    Parameters
    ----------
    detail : str
        Group and reason.
    leader : str or None
        Instance believed to lead.
    """

    code = Code.NOT_LEADER
    run = Run.NOT_RUN

    def __init__(self, detail: str, leader: str | None = None) -> None:
        super().__init__(detail)
        self.leader = leader


class BuildTooOldError(BergamotwoodError):
    """The state of a log group needs a newer build than this one.

    Parameters
    ----------
    detail : str
        What cannot be read.
    level : int
        Feature level that this build supports.
    group_level : int or None
        Feature level of the group, None when it cannot be read either.
    """

    code = Code.BUILD_TOO_OLD
    run = Run.NOT_RUN

    def __init__(self, detail: str, level: int, group_level: int | None) -> None:
        super().__init__(detail, retry_after=BUILD_RETRY_SECONDS)
        self.level = level
        self.group_level = group_level


class LogCorruptError(BergamotwoodError):
    """The log on disk is damaged before its tail, or contradicts the leader's."""

    code = Code.LOG_CORRUPT


class SettingsError(BergamotwoodError):
    """The settings are not valid.

    Parameters
    ----------
    detail : str
        The settings file.
    faults : tuple of str
        Each fault with its key, its value and what is allowed.
    """

    code = Code.SETTINGS_INVALID
    run = Run.NOT_RUN

    def __init__(self, detail: str, faults: tuple[str, ...] = ()) -> None:
        super().__init__(detail)
        self.faults = faults


class AnswerError(BergamotwoodError):
    """An instance refused an operator's request.

    Parameters
    ----------
    detail : str
        Detail of the answer.
    code : Code
        Result code of the answer.
    status : int
        HTTP status of the answer.
    faults : tuple of str
        Faults listed in the answer.
    """

    run = Run.NOT_RUN

    def __init__(
        self, detail: str, code: Code, status: int, faults: tuple[str, ...] = ()
    ) -> None:
        super().__init__(detail, code)
        self.answered_status = status
        self.faults = faults


class UnreachableError(BergamotwoodError):
    """No instance answered the operator's request."""


class WaitError(BergamotwoodError):
    """The operator's wait ended before the awaited state was reached."""
