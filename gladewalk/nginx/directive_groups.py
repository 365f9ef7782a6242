"""The table of nginx's directives: how the importer handles each of them, and the reason."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Handling(Enum):
    """How the importer handles a directive; the value is the text in the page of directives."""

    TRANSLATED = "carried over"
    IGNORED = "immaterial"
    REFUSED = "refused"


@dataclass(slots=True, frozen=True)
class DirectivePolicy:
    """The importer's policy for one directive.

    Attributes:
        handling: Whether the directive is carried over, ignored or refused.
        note: The reason, or how the directive is carried over.
        may_be_allowed: Whether the operator may accept the directive's loss by `--allow`.
    """

    handling: Handling
    note: str
    may_be_allowed: bool = False


@dataclass(slots=True, frozen=True)
class DirectiveGroup:
    """Directives with the same policy, which are one row of the page; `names` are separated by blanks."""

    handling: Handling
    note: str
    names: str
    may_be_allowed: bool = False

    @property
    def policy(self) -> DirectivePolicy:
        """The policy of each directive of the group."""
        return DirectivePolicy(self.handling, self.note, self.may_be_allowed)


GROUPS = (
    DirectiveGroup(
        Handling.TRANSLATED,
        "a block that is read",
        "http server upstream location limit_except include",
    ),
    DirectiveGroup(
        Handling.TRANSLATED,
        "which of our listeners it is goes by `listen` in `[front.http]`",
        "listen",
    ),
    DirectiveGroup(
        Handling.TRANSLATED,
        "exact, masks, regexes, in nginx's order",
        "server_name",
    ),
    DirectiveGroup(
        Handling.TRANSLATED,
        "an answer, a redirect, or 444 for a close",
        "return",
    ),
    DirectiveGroup(
        Handling.TRANSLATED,
        "with `last`, `break`, `redirect`, `permanent`; ten changes of a URI at the most",
        "rewrite",
    ),
    DirectiveGroup(
        Handling.TRANSLATED,
        "in the order of the file, with the rewrites",
        "set break",
    ),
    DirectiveGroup(
        Handling.TRANSLATED,
        "with `return`, `rewrite`, `set` and `break` in it, and no test for files",
        "if",
    ),
    DirectiveGroup(
        Handling.TRANSLATED,
        "for requests that no rewrite or error page has turned: 404",
        "internal",
    ),
    DirectiveGroup(
        Handling.TRANSLATED,
        "by the client's address; the first rule that fits counts",
        "allow deny",
    ),
    DirectiveGroup(
        Handling.TRANSLATED,
        "for what is answered here and for final failures of an upstream",
        "error_page",
    ),
    DirectiveGroup(
        Handling.TRANSLATED,
        "a chosen value; strings, masks of hosts, regexes",
        "map",
    ),
    DirectiveGroup(
        Handling.TRANSLATED,
        "by MurmurHash2, as nginx does it",
        "split_clients",
    ),
    DirectiveGroup(
        Handling.TRANSLATED,
        "http to an upstream or a literal address, with a path, captures and variables",
        "proxy_pass",
    ),
    DirectiveGroup(
        Handling.TRANSLATED,
        "the fields sent on; inherited where a level has none of its own",
        "proxy_set_header",
    ),
    DirectiveGroup(
        Handling.TRANSLATED,
        "the fields of an answer that stay here",
        "proxy_hide_header proxy_pass_header",
    ),
    DirectiveGroup(
        Handling.TRANSLATED,
        "on 200, 201, 204, 206, 301, 302, 303, 304, 307 and 308, or `always`",
        "add_header",
    ),
    DirectiveGroup(
        Handling.TRANSLATED,
        "`default` or `off`",
        "proxy_redirect",
    ),
    DirectiveGroup(
        Handling.TRANSLATED,
        "which failures the core may try again elsewhere",
        "proxy_next_upstream",
    ),
    DirectiveGroup(
        Handling.TRANSLATED,
        "attempts of one request, and the time for them",
        "proxy_next_upstream_tries proxy_next_upstream_timeout",
    ),
    DirectiveGroup(
        Handling.TRANSLATED,
        "the time for a connection, and for an answer's next bytes",
        "proxy_connect_timeout proxy_read_timeout proxy_send_timeout",
    ),
    DirectiveGroup(
        Handling.TRANSLATED,
        "how long a copy of a 200 is fresh",
        "proxy_cache_valid",
    ),
    DirectiveGroup(
        Handling.TRANSLATED,
        "what tells objects apart: it is hashed to the object's home",
        "proxy_cache_key",
    ),
    DirectiveGroup(
        Handling.TRANSLATED,
        "a copy past its time where its source fails: the class's grace",
        "proxy_cache_use_stale",
    ),
    DirectiveGroup(
        Handling.TRANSLATED,
        "one fill for all who wait",
        "proxy_cache_lock",
    ),
    DirectiveGroup(
        Handling.TRANSLATED,
        "413 for what is larger, at the most what the front's settings let in",
        "client_max_body_size",
    ),
    DirectiveGroup(
        Handling.TRANSLATED,
        "how targets are read before any location is sought",
        "merge_slashes",
    ),
    DirectiveGroup(
        Handling.TRANSLATED,
        "how Location fields are written",
        "absolute_redirect port_in_redirect server_name_in_redirect",
    ),
    DirectiveGroup(
        Handling.TRANSLATED,
        "`all`, which is what it does here; `any` is refused",
        "satisfy",
    ),
    DirectiveGroup(
        Handling.TRANSLATED,
        "the core's hash by object takes the place of every way of balancing, and a weight is a "
        "share of that hash: one copy a location is what it is for",
        "hash ip_hash least_conn least_time random",
    ),
    DirectiveGroup(
        Handling.IGNORED,
        "connections are this program's own affair, within its bounds",
        "keepalive keepalive_requests keepalive_timeout keepalive_time zone proxy_http_version "
        "proxy_socket_keepalive reset_timedout_connection tcp_nodelay tcp_nopush sendfile "
        "sendfile_max_chunk proxy_request_buffering proxy_buffering lingering_close lingering_time "
        "lingering_timeout keepalive_disable aio directio directio_alignment output_buffers "
        "postpone_output read_ahead max_ranges chunked_transfer_encoding",
    ),
    DirectiveGroup(
        Handling.IGNORED,
        "memory is bounded by the front's own settings",
        "client_body_buffer_size client_header_buffer_size large_client_header_buffers "
        "client_body_temp_path client_body_in_file_only client_body_in_single_buffer "
        "connection_pool_size request_pool_size proxy_buffers proxy_buffer_size "
        "proxy_busy_buffers_size proxy_temp_path proxy_temp_file_write_size "
        "proxy_max_temp_file_size proxy_headers_hash_max_size proxy_headers_hash_bucket_size "
        "server_names_hash_max_size server_names_hash_bucket_size types_hash_max_size "
        "types_hash_bucket_size variables_hash_max_size variables_hash_bucket_size "
        "map_hash_max_size map_hash_bucket_size",
    ),
    DirectiveGroup(
        Handling.IGNORED,
        "the front gives clients its own times to ask in",
        "client_header_timeout client_body_timeout send_timeout",
    ),
    DirectiveGroup(
        Handling.IGNORED,
        "processes and files of nginx itself",
        "user worker_processes worker_connections worker_rlimit_nofile worker_rlimit_core "
        "worker_priority worker_cpu_affinity worker_shutdown_timeout events multi_accept use "
        "accept_mutex accept_mutex_delay pid lock_file daemon master_process working_directory "
        "pcre_jit timer_resolution load_module env thread_pool debug_connection error_log "
        "access_log log_format log_not_found rewrite_log log_subrequest open_log_file_cache "
        "uninitialized_variable_warn",
    ),
    DirectiveGroup(
        Handling.IGNORED,
        "of files on nginx's own disk: a location that would serve any is refused by itself",
        "root index types default_type open_file_cache open_file_cache_valid "
        "open_file_cache_min_uses open_file_cache_errors disable_symlinks etag if_modified_since "
        "try_static autoindex autoindex_exact_size autoindex_localtime autoindex_format charset "
        "charset_types source_charset",
    ),
    DirectiveGroup(
        Handling.IGNORED,
        "changes an answer's coding and not where it comes from",
        "gzip gzip_types gzip_min_length gzip_comp_level gzip_buffers gzip_disable gzip_proxied "
        "gzip_vary gzip_http_version gzip_static gunzip",
    ),
    DirectiveGroup(
        Handling.IGNORED,
        "of nginx's own cache; the boxes behind have theirs",
        "proxy_cache proxy_cache_path proxy_cache_min_uses proxy_cache_methods "
        "proxy_cache_lock_timeout proxy_cache_lock_age proxy_cache_background_update "
        "proxy_cache_revalidate proxy_cache_max_range_offset proxy_cache_convert_head "
        "proxy_store_access",
    ),
    DirectiveGroup(
        Handling.IGNORED,
        "names nginx in answers, which this program does not do",
        "server_tokens",
    ),
    DirectiveGroup(
        Handling.IGNORED,
        "a client that leaves ends its attempts: what `off` says",
        "proxy_ignore_client_abort",
    ),
    DirectiveGroup(
        Handling.IGNORED,
        "no name is looked up here",
        "resolver resolver_timeout",
    ),
    DirectiveGroup(
        Handling.REFUSED,
        "requests would be let in that nginx turns away",
        "auth_basic auth_basic_user_file auth_request auth_request_set auth_delay valid_referers "
        "secure_link secure_link_md5 secure_link_secret auth_jwt auth_jwt_key_file",
    ),
    DirectiveGroup(
        Handling.REFUSED,
        "requests would be let in that nginx holds back",
        "limit_req limit_req_zone limit_conn limit_conn_zone limit_rate limit_rate_after "
        "limit_req_status limit_conn_status limit_req_log_level limit_conn_log_level "
        "limit_req_dry_run limit_conn_dry_run proxy_limit_rate",
        may_be_allowed=True,
    ),
    DirectiveGroup(
        Handling.REFUSED,
        "files are not served here",
        "alias try_files random_index empty_gif stub_status mp4 flv expires_static dav_methods "
        "dav_access create_full_put_path min_delete_depth image_filter",
        may_be_allowed=True,
    ),
    DirectiveGroup(
        Handling.REFUSED,
        "TLS ends in front of this front",
        "ssl ssl_certificate ssl_certificate_key ssl_protocols ssl_ciphers "
        "ssl_prefer_server_ciphers ssl_session_cache ssl_session_timeout ssl_session_tickets "
        "ssl_dhparam ssl_stapling ssl_stapling_verify ssl_trusted_certificate ssl_ecdh_curve "
        "ssl_buffer_size ssl_reject_handshake http2 http3",
        may_be_allowed=True,
    ),
    DirectiveGroup(
        Handling.REFUSED,
        "clients would be let in without their certificate",
        "ssl_client_certificate ssl_verify_client ssl_verify_depth ssl_crl",
    ),
    DirectiveGroup(
        Handling.REFUSED,
        "TLS to an upstream is not spoken here",
        "proxy_ssl_certificate proxy_ssl_certificate_key proxy_ssl_verify proxy_ssl_name "
        "proxy_ssl_server_name proxy_ssl_trusted_certificate proxy_ssl_protocols proxy_ssl_ciphers "
        "proxy_ssl_session_reuse proxy_ssl_verify_depth",
    ),
    DirectiveGroup(
        Handling.REFUSED,
        "another protocol than HTTP",
        "fastcgi_pass uwsgi_pass scgi_pass grpc_pass memcached_pass fastcgi_param fastcgi_index "
        "uwsgi_param grpc_set_header stream mail",
    ),
    DirectiveGroup(
        Handling.REFUSED,
        "a second request for each would be needed",
        "mirror mirror_request_body ssi ssi_silent_errors add_before_body add_after_body slice",
    ),
    DirectiveGroup(
        Handling.REFUSED,
        "answers would differ from nginx's",
        "sub_filter sub_filter_once sub_filter_types xslt_stylesheet addition_types "
        "proxy_cookie_domain proxy_cookie_path proxy_cookie_flags expires add_trailer "
        "proxy_intercept_errors proxy_ignore_headers override_charset charset_map "
        "sub_filter_last_modified userid userid_name",
        may_be_allowed=True,
    ),
    DirectiveGroup(
        Handling.REFUSED,
        "what is sent on would differ from nginx's",
        "proxy_method proxy_pass_request_headers proxy_pass_request_body proxy_set_body proxy_bind "
        "proxy_store proxy_force_ranges",
        may_be_allowed=True,
    ),
    DirectiveGroup(
        Handling.REFUSED,
        "which copies may be used would differ",
        "proxy_cache_bypass proxy_no_cache proxy_cache_purge",
        may_be_allowed=True,
    ),
    DirectiveGroup(
        Handling.REFUSED,
        "a client's address would be taken from a field that is not read",
        "set_real_ip_from real_ip_header real_ip_recursive proxy_protocol proxy_protocol_timeout",
    ),
    DirectiveGroup(
        Handling.REFUSED,
        "not known how: a variable of another module",
        "geo geoip_country geoip_city geoip_org geoip2 browser ancient_browser modern_browser "
        "js_import js_set js_content perl perl_set perl_modules content_by_lua_block "
        "access_by_lua_block rewrite_by_lua_block set_by_lua_block lua_package_path",
    ),
    DirectiveGroup(
        Handling.REFUSED,
        "sessions are not tied to a server here",
        "sticky sticky_cookie_insert ntlm queue state",
        may_be_allowed=True,
    ),
    DirectiveGroup(
        Handling.REFUSED,
        "health is found by the core from answers; a probe of nginx Plus has no place",
        "health_check match",
        may_be_allowed=True,
    ),
    DirectiveGroup(
        Handling.REFUSED,
        "named errors beyond the first are not followed",
        "recursive_error_pages",
        may_be_allowed=True,
    ),
)
