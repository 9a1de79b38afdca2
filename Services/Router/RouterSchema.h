/// \file
/// JSON Schema of the router settings. The keys are documented in
/// docs/SETTINGS.md.

#ifndef BERGAMOTHOOK_SERVICES_ROUTER_ROUTERSCHEMA_H
#define BERGAMOTHOOK_SERVICES_ROUTER_ROUTERSCHEMA_H

namespace bergamothook::detail {

inline constexpr const char *RouterSchema = R"JSON({
  "definitions": {
    "name": {"type": "string", "minLength": 1, "maxLength": 100},
    "address": {"type": "string",
      "pattern": "^([0-9]{1,3}(\\.[0-9]{1,3}){3}|[0-9a-fA-F:]*:[0-9a-fA-F:]+)$"},
    "port": {"type": "integer", "minimum": 1, "maximum": 65535},
    "milliseconds": {"type": "integer", "minimum": 0, "maximum": 86400000},
    "bytes": {"type": "integer", "minimum": 1024, "maximum": 1073741824},
    "endpoint": {
      "type": "object", "additionalProperties": false,
      "required": ["address", "port"],
      "properties": {
        "address": {"$ref": "#/definitions/address"},
        "port": {"$ref": "#/definitions/port"}}},
    "seed": {
      "type": "object", "additionalProperties": false,
      "required": ["name", "address", "port"],
      "properties": {
        "name": {"$ref": "#/definitions/name"},
        "address": {"$ref": "#/definitions/address"},
        "port": {"$ref": "#/definitions/port"}}},
    "listen": {
      "type": "object", "additionalProperties": false,
      "required": ["address", "port"],
      "properties": {
        "address": {"$ref": "#/definitions/address"},
        "port": {"$ref": "#/definitions/port"},
        "max_body_bytes": {"$ref": "#/definitions/bytes"},
        "max_requests": {"type": "integer", "minimum": 1, "maximum": 100000},
        "max_unsent_bytes": {"$ref": "#/definitions/bytes"},
        "certificate_file": {"$ref": "#/definitions/name"},
        "key_file": {"$ref": "#/definitions/name"}}}
  },
  "type": "object", "additionalProperties": false,
  "required": ["host", "callers", "operators", "peers", "platform"],
  "properties": {
    "host": {
      "type": "object", "additionalProperties": false,
      "required": ["name", "failure_domain"],
      "properties": {
        "name": {"$ref": "#/definitions/name"},
        "failure_domain": {"$ref": "#/definitions/name"},
        "region": {"$ref": "#/definitions/name"}}},
    "callers": {"$ref": "#/definitions/listen"},
    "operators": {"$ref": "#/definitions/listen"},
    "peers": {
      "type": "object", "additionalProperties": false,
      "required": ["address", "port", "seeds", "key_file"],
      "properties": {
        "address": {"$ref": "#/definitions/address"},
        "port": {"$ref": "#/definitions/port"},
        "seeds": {"type": "array", "maxItems": 100,
          "items": {"$ref": "#/definitions/seed"}},
        "key_file": {"type": "string", "minLength": 1}}},
    "platform": {
      "type": "object", "additionalProperties": false,
      "required": ["log", "membership"],
      "properties": {
        "log": {"$ref": "#/definitions/endpoint"},
        "membership": {"$ref": "#/definitions/endpoint"}}},
    "ledger": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "shards": {"type": "integer", "minimum": 1, "maximum": 4096},
        "caution": {"type": "number", "minimum": 0, "maximum": 1}}},
    "limits": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "drain_timeout_ms": {"$ref": "#/definitions/milliseconds"},
        "not_ready_before_drain_ms": {"$ref": "#/definitions/milliseconds"},
        "first_token_timeout_ms": {"$ref": "#/definitions/milliseconds"},
        "between_tokens_timeout_ms": {"$ref": "#/definitions/milliseconds"}}},
    "logs": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "level": {"enum": ["debug", "info", "warning", "error"]}}}
  }
})JSON";

} // namespace bergamothook::detail

#endif
