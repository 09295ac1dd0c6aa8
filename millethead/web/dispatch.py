"""Calls the handler of a request in a bottle application and converts its result to a response."""

from __future__ import annotations

import io
import secrets
import sys
from urllib.parse import unquote_to_bytes, urlsplit

import bottle  # type: ignore[import-untyped]
import structlog

from millethead.net.parse import BadMessage, Request
from millethead.web.responses import DeferredResponse, Response, error_response

log = structlog.get_logger()
NOT_FOUND, METHOD_NOT_ALLOWED, INTERNAL_ERROR = 404, 405, 500
BODY_KEY = "millethead.body"
Environ = dict[str, object]
# disables bottle's own limit of 100 KiB: the server has already checked the body against HttpLimits
bottle.BaseRequest.MEMFILE_MAX = 1 << 30


class UnusableResult(TypeError):
    """A handler returned a value that cannot be converted to a response."""


def request_body() -> bytes:
    """The body of the current request, without copying it."""
    body = bottle.request.environ[BODY_KEY]
    assert isinstance(body, bytes)
    return body


def dispatch(app: bottle.Bottle, request: Request) -> Response | DeferredResponse:
    """Calls the handler of a request. An exception of the handler becomes an error response. Raises BadMessage if the
    target or the method of the request is invalid."""
    environ = build_environ(request)
    try:
        return _call(app, environ)
    except bottle.HTTPResponse as response:
        return _from_bottle_response(response)
    except Exception:
        return internal_error(request)


def internal_error(request: Request) -> Response:
    """Logs the current exception under a random id. Returns an error response that contains the id."""
    error_id = secrets.token_hex(4)
    log.exception("handler_failed", error_id=error_id, method=request.method, path=request.path[:200])
    return error_response(INTERNAL_ERROR, f"internal error {error_id}")


def _call(app: bottle.Bottle, environ: Environ) -> Response | DeferredResponse:
    bottle.request.bind(environ)
    bottle.response.bind()
    app.trigger_hook("before_request")
    try:
        route, arguments = app.match(environ)
    except bottle.HTTPError as error:
        return _routing_error(error)
    environ["bottle.route"] = route
    environ["route.url_args"] = arguments
    result = route.call(**arguments)
    app.trigger_hook("after_request")
    return _to_response(result)


def _routing_error(error: bottle.HTTPError) -> Response:
    if error.status_code == METHOD_NOT_ALLOWED:
        allow = error.get_header("Allow")
        return error_response(METHOD_NOT_ALLOWED, "the path does not take this method", (("Allow", allow),))
    if error.status_code == NOT_FOUND:
        return error_response(NOT_FOUND, "no such path")
    return _from_bottle_response(error)


def _to_response(result: object) -> Response | DeferredResponse:
    if isinstance(result, Response | DeferredResponse):
        return result
    if isinstance(result, bottle.HTTPResponse):
        return _from_bottle_response(result)
    return _assemble(bottle.response, result)


def _from_bottle_response(response: bottle.HTTPResponse) -> Response:
    if isinstance(response, bottle.HTTPError):
        return error_response(response.status_code, str(response.body))
    return _assemble(response, response.body)


def _assemble(response: bottle.BaseResponse, body: object) -> Response:
    """Converts a result in bottle's own form: a str or bytes body, with status and headers in bottle's response
    object."""
    if body is None:
        body = b""
    elif isinstance(body, str):
        body = body.encode()
    if not isinstance(body, bytes):
        raise UnusableResult(f"a handler returned {type(body).__name__}")
    content_type = response.content_type
    excluded = {"content-type", "content-length"}
    headers = tuple((name, value) for name, value in response.headerlist if name.lower() not in excluded)
    return Response(response.status_code, body, content_type, headers)


def build_environ(request: Request) -> Environ:
    """The WSGI environ of a request. Its path is decoded to Unicode, as bottle expects. Raises BadMessage if the target
    or the method is invalid."""
    path, query = _split_target(request.target)
    if not request.method.isupper():
        raise BadMessage(400, "the method is not in upper case")
    body = request.body
    environ: Environ = {
        "REQUEST_METHOD": request.method,
        "SCRIPT_NAME": "",
        "PATH_INFO": path,
        "QUERY_STRING": query,
        "SERVER_PROTOCOL": "HTTP/1.1",
        "SERVER_NAME": "",
        "SERVER_PORT": "",
        "CONTENT_LENGTH": str(len(body)),
        "wsgi.version": (1, 0),
        "wsgi.url_scheme": "http",
        "wsgi.input": io.BytesIO(body),
        "wsgi.errors": sys.stderr,
        "wsgi.multithread": False,
        "wsgi.multiprocess": False,
        "wsgi.run_once": False,
        BODY_KEY: body,
    }
    for name, value in request.fields.items():
        if "_" not in name:  # WSGI could not distinguish it from the field with hyphens
            environ["HTTP_" + name.upper().replace("-", "_")] = value
    if "content-type" in request.fields:
        environ["CONTENT_TYPE"] = request.fields["content-type"]
    return environ


def _split_target(target: str) -> tuple[str, str]:
    """Splits a request target into the percent-decoded path and the raw query."""
    if not target.startswith("/"):
        target = _origin_form(target)
    path, _, query = target.partition("?")
    if "%" in path:
        try:
            path = unquote_to_bytes(path).decode()
        except UnicodeDecodeError:
            raise BadMessage(400, "the path is not in UTF-8") from None
    return path, query


def _origin_form(target: str) -> str:
    """Converts a request target in absolute form (a URL) to path and query."""
    try:
        parts = urlsplit(target)
    except ValueError:
        raise BadMessage(400, "a malformed target") from None
    if parts.scheme not in ("http", "https") or not parts.netloc:
        raise BadMessage(400, "the target is neither a path nor a URL")
    path = parts.path or "/"
    return f"{path}?{parts.query}" if parts.query else path
