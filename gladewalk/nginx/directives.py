"""What becomes of each of nginx's directives: carried over, immaterial to routing, or refused.

A directive that is not here is refused as unknown: nothing is dropped in silence. The page of directives in
the docs is made from this table (`python -m gladewalk.nginx.directives`), and a test holds the two together.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass
from enum import Enum


class Answer(Enum):
    CARRIED = "carried over"
    IMMATERIAL = "immaterial"
    REFUSED = "refused"


@dataclass(slots=True, frozen=True)
class Directive:
    answer: Answer
    note: str
    allowed: bool = False  # `--allow` may accept its loss


def _table() -> dict[str, Directive]:
    found: dict[str, Directive] = {}

    def put(answer: Answer, note: str, names: str, allowed: bool = False) -> None:
        for name in names.split():
            assert name not in found, name
            found[name] = Directive(answer, note, allowed)

    carried, immaterial, refused = Answer.CARRIED, Answer.IMMATERIAL, Answer.REFUSED
    put(carried, "a block that is read", "http server upstream location limit_except include")
    put(carried, "which of our listeners it is goes by `listen` in `[front.http]`", "listen")
    put(carried, "exact, masks, regexes, in nginx's order", "server_name")
    put(carried, "an answer, a redirect, or 444 for a close", "return")
    put(carried, "with `last`, `break`, `redirect`, `permanent`; ten changes of a URI at the most", "rewrite")
    put(carried, "in the order of the file, with the rewrites", "set break")
    put(carried, "with `return`, `rewrite`, `set` and `break` in it, and no test for files", "if")
    put(carried, "for requests that no rewrite or error page has turned: 404", "internal")
    put(carried, "by the client's address; the first rule that fits counts", "allow deny")
    put(carried, "for what is answered here and for final failures of an upstream", "error_page")
    put(carried, "a chosen value; strings, masks of hosts, regexes", "map")
    put(carried, "by MurmurHash2, as nginx does it", "split_clients")
    put(
        carried, "http to an upstream or a literal address, with a path, captures and variables", "proxy_pass"
    )
    put(carried, "the fields sent on; inherited where a level has none of its own", "proxy_set_header")
    put(carried, "the fields of an answer that stay here", "proxy_hide_header proxy_pass_header")
    put(carried, "on 200, 201, 204, 206, 301, 302, 303, 304, 307 and 308, or `always`", "add_header")
    put(carried, "`default` or `off`", "proxy_redirect")
    put(carried, "which failures the core may try again elsewhere", "proxy_next_upstream")
    put(
        carried,
        "attempts of one request, and the time for them",
        "proxy_next_upstream_tries proxy_next_upstream_timeout",
    )
    put(
        carried,
        "the time for a connection, and for an answer's next bytes",
        "proxy_connect_timeout proxy_read_timeout proxy_send_timeout",
    )
    put(carried, "how long a copy of a 200 is fresh", "proxy_cache_valid")
    put(carried, "what tells objects apart: it is hashed to the object's home", "proxy_cache_key")
    put(carried, "a copy past its time where its source fails: the class's grace", "proxy_cache_use_stale")
    put(carried, "one fill for all who wait", "proxy_cache_lock")
    put(
        carried,
        "413 for what is larger, at the most what the front's settings let in",
        "client_max_body_size",
    )
    put(carried, "how targets are read before any location is sought", "merge_slashes")
    put(
        carried,
        "how Location fields are written",
        "absolute_redirect port_in_redirect server_name_in_redirect",
    )
    put(carried, "`all`, which is what it does here; `any` is refused", "satisfy")
    put(
        carried,
        "the core's hash by object takes the place of every way of balancing, and a weight is a share "
        "of that hash: one copy a location is what it is for",
        "hash ip_hash least_conn least_time random",
    )

    put(
        immaterial,
        "connections are this program's own affair, within its bounds",
        "keepalive keepalive_requests keepalive_timeout keepalive_time zone proxy_http_version "
        "proxy_socket_keepalive reset_timedout_connection tcp_nodelay tcp_nopush sendfile sendfile_max_chunk "
        "proxy_request_buffering proxy_buffering lingering_close lingering_time lingering_timeout "
        "keepalive_disable aio directio directio_alignment output_buffers postpone_output read_ahead "
        "max_ranges chunked_transfer_encoding",
    )
    put(
        immaterial,
        "memory is bounded by the front's own settings",
        "client_body_buffer_size client_header_buffer_size large_client_header_buffers client_body_temp_path "
        "client_body_in_file_only client_body_in_single_buffer connection_pool_size request_pool_size "
        "proxy_buffers proxy_buffer_size proxy_busy_buffers_size proxy_temp_path proxy_temp_file_write_size "
        "proxy_max_temp_file_size proxy_headers_hash_max_size proxy_headers_hash_bucket_size "
        "server_names_hash_max_size server_names_hash_bucket_size types_hash_max_size types_hash_bucket_size "
        "variables_hash_max_size variables_hash_bucket_size map_hash_max_size map_hash_bucket_size",
    )
    put(
        immaterial,
        "the front gives clients its own times to ask in",
        "client_header_timeout client_body_timeout send_timeout",
    )
    put(
        immaterial,
        "processes and files of nginx itself",
        "user worker_processes worker_connections worker_rlimit_nofile worker_rlimit_core worker_priority "
        "worker_cpu_affinity worker_shutdown_timeout events multi_accept use accept_mutex accept_mutex_delay "
        "pid lock_file daemon master_process working_directory pcre_jit timer_resolution load_module env "
        "thread_pool debug_connection error_log access_log log_format log_not_found rewrite_log "
        "log_subrequest "
        "open_log_file_cache uninitialized_variable_warn",
    )
    put(
        immaterial,
        "of files on nginx's own disk: a location that would serve any is refused by itself",
        "root index types default_type open_file_cache open_file_cache_valid open_file_cache_min_uses "
        "open_file_cache_errors disable_symlinks etag if_modified_since try_static autoindex "
        "autoindex_exact_size autoindex_localtime autoindex_format charset charset_types source_charset",
    )
    put(
        immaterial,
        "changes an answer's coding and not where it comes from",
        "gzip gzip_types gzip_min_length gzip_comp_level gzip_buffers gzip_disable gzip_proxied gzip_vary "
        "gzip_http_version gzip_static gunzip",
    )
    put(
        immaterial,
        "of nginx's own cache; the boxes behind have theirs",
        "proxy_cache proxy_cache_path proxy_cache_min_uses proxy_cache_methods proxy_cache_lock_timeout "
        "proxy_cache_lock_age proxy_cache_background_update proxy_cache_revalidate "
        "proxy_cache_max_range_offset "
        "proxy_cache_convert_head proxy_store_access",
    )
    put(immaterial, "names nginx in answers, which this program does not do", "server_tokens")
    put(
        immaterial,
        "a client that leaves ends its attempts: what `off` says",
        "proxy_ignore_client_abort",
    )
    put(immaterial, "no name is looked up here", "resolver resolver_timeout")

    put(
        refused,
        "requests would be let in that nginx turns away",
        "auth_basic auth_basic_user_file auth_request auth_request_set auth_delay valid_referers secure_link "
        "secure_link_md5 secure_link_secret auth_jwt auth_jwt_key_file",
    )
    put(
        refused,
        "requests would be let in that nginx holds back",
        "limit_req limit_req_zone limit_conn "
        "limit_conn_zone limit_rate limit_rate_after limit_req_status limit_conn_status limit_req_log_level "
        "limit_conn_log_level limit_req_dry_run limit_conn_dry_run proxy_limit_rate",
        True,
    )
    put(
        refused,
        "files are not served here",
        "alias try_files random_index empty_gif stub_status mp4 flv "
        "expires_static dav_methods dav_access create_full_put_path min_delete_depth image_filter",
        True,
    )
    put(
        refused,
        "TLS ends in front of this front",
        "ssl ssl_certificate ssl_certificate_key ssl_protocols "
        "ssl_ciphers ssl_prefer_server_ciphers ssl_session_cache ssl_session_timeout ssl_session_tickets "
        "ssl_dhparam ssl_stapling ssl_stapling_verify ssl_trusted_certificate ssl_ecdh_curve "
        "ssl_buffer_size ssl_reject_handshake http2 http3",
        True,
    )
    put(
        refused,
        "clients would be let in without their certificate",
        "ssl_client_certificate ssl_verify_client ssl_verify_depth ssl_crl",
    )
    put(
        refused,
        "TLS to an upstream is not spoken here",
        "proxy_ssl_certificate proxy_ssl_certificate_key proxy_ssl_verify proxy_ssl_name "
        "proxy_ssl_server_name "
        "proxy_ssl_trusted_certificate proxy_ssl_protocols proxy_ssl_ciphers proxy_ssl_session_reuse "
        "proxy_ssl_verify_depth",
    )
    put(
        refused,
        "another protocol than HTTP",
        "fastcgi_pass uwsgi_pass scgi_pass grpc_pass memcached_pass "
        "fastcgi_param fastcgi_index uwsgi_param grpc_set_header stream mail",
    )
    put(
        refused,
        "a second request for each would be needed",
        "mirror mirror_request_body ssi ssi_silent_errors add_before_body add_after_body slice",
    )
    put(
        refused,
        "answers would differ from nginx's",
        "sub_filter sub_filter_once sub_filter_types xslt_stylesheet "
        "addition_types proxy_cookie_domain proxy_cookie_path proxy_cookie_flags expires add_trailer "
        "proxy_intercept_errors proxy_ignore_headers override_charset charset_map sub_filter_last_modified "
        "userid userid_name",
        True,
    )
    put(
        refused,
        "what is sent on would differ from nginx's",
        "proxy_method proxy_pass_request_headers "
        "proxy_pass_request_body proxy_set_body proxy_bind proxy_store proxy_force_ranges",
        True,
    )
    put(
        refused,
        "which copies may be used would differ",
        "proxy_cache_bypass proxy_no_cache proxy_cache_purge",
        True,
    )
    put(
        refused,
        "a client's address would be taken from a field that is not read",
        "set_real_ip_from real_ip_header real_ip_recursive proxy_protocol proxy_protocol_timeout",
    )
    put(
        refused,
        "not known how: a variable of another module",
        "geo geoip_country geoip_city geoip_org geoip2 "
        "browser ancient_browser modern_browser js_import js_set js_content perl perl_set perl_modules "
        "content_by_lua_block access_by_lua_block rewrite_by_lua_block set_by_lua_block lua_package_path",
    )
    put(
        refused,
        "sessions are not tied to a server here",
        "sticky sticky_cookie_insert ntlm queue state",
        True,
    )
    put(
        refused,
        "health is found by the core from answers; a probe of nginx Plus has no place",
        "health_check match",
        True,
    )
    put(refused, "named errors beyond the first are not followed", "recursive_error_pages", True)
    return found


DIRECTIVES = _table()
UNKNOWN = Directive(Answer.REFUSED, "not a directive that is known here", True)


def answer_of(name: str) -> Directive:
    return DIRECTIVES.get(name, UNKNOWN)


def page() -> str:
    """The table as Markdown: one row a group of directives with the same answer."""
    groups: dict[tuple[Answer, str, bool], list[str]] = {}
    for name, directive in DIRECTIVES.items():
        groups.setdefault((directive.answer, directive.note, directive.allowed), []).append(name)
    lines = ["| directives | answer | why, or how |", "| --- | --- | --- |"]
    for (answer, note, allowed), names in groups.items():
        said = f"{answer.value}{'; `--allow` accepts its loss' if allowed else ''}"
        lines.append(f"| {', '.join(f'`{name}`' for name in names)} | {said} | {note} |")
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    sys.stdout.write(page())
