// Encoding of snapshots, endpoints and evidence for the wire and for storage: canonical JSON (sorted keys, no spaces),
// so that equal values have equal bytes and one hash shows whether two processes hold the same content.
//
// JSON rather than CBOR: snapshots are compressed anyway, and the library's CBOR reader is recursive, so that a few
// hundred kilobytes of nested arrays from a faulty peer would overflow the stack. Endpoints and evidence, which are
// sent often and separately, are arrays without keys.
//
// Decoding rejects unknown, mistyped and out-of-range values with MessageMalformed.
#pragma once

#include "appletally/base/json_reader.h"
#include "appletally/base/json_writer.h"
#include "appletally/base/result.h"
#include "appletally/config/endpoint.h"
#include "appletally/config/evidence.h"
#include "appletally/config/model.h"

#include <string>
#include <string_view>
#include <vector>

namespace appletally::config {

// Objects with keys, for dumps and as parts of larger messages.
base::Json toJson(const Service&);
base::Json toJson(const Route&);
base::Json toJson(const Rollout&);
base::Json toJson(const KeeperSet&);
base::Json toJson(const ControlTiming&);
base::Json toJson(const CallerLimits&);
base::Json zonesToJson(const std::set<base::ZoneName>&);
base::Json toJson(const Snapshot&);
base::Json toJson(const Endpoint&);
base::Json toJson(const Evidence&);

// Write the same bytes as encode(toJson(it)) without building a JSON tree.
void write(base::JsonWriter&, const Service&);
void write(base::JsonWriter&, const Route&);

// Each consumes and finishes the reader. Errors are recorded in the reader.
Service readService(base::JsonReader);
Route readRoute(base::JsonReader);
Rollout readRollout(base::JsonReader);
Rollout readEndedRollout(base::JsonReader); // of the history: service and versions may be empty
KeeperSet readKeeperSet(base::JsonReader);
ControlTiming readControlTiming(base::JsonReader);
CallerLimits readCallerLimits(base::JsonReader);
std::set<base::ZoneName> readZones(base::JsonReader&, const std::string& key); // a missing key: none

std::string encode(const base::Json&); // canonical; invalid UTF-8 is replaced
std::string encode(const Snapshot&);
std::string encode(const Endpoint&);
std::string encode(const Evidence&);
std::string encode(const std::vector<Endpoint>&);
std::string encode(const std::vector<Evidence>&);

base::Result<base::Json> decodeJson(std::string_view bytes);
base::Result<Snapshot> decodeSnapshot(std::string_view bytes);
base::Result<Endpoint> decodeEndpoint(std::string_view bytes);
base::Result<Evidence> decodeEvidence(std::string_view bytes);
base::Result<std::vector<Endpoint>> decodeEndpoints(std::string_view bytes);
base::Result<std::vector<Evidence>> decodeEvidenceList(std::string_view bytes);

// 64-bit XXH3: detects accidental differences; not resistant to deliberate collisions.
uint64_t contentHash(std::string_view bytes);

// Covers everything but the version, which may rise without any other change.
uint64_t contentHash(const Snapshot&);

// The sum of `to`, computed from the sum of `from` by hashing only the resources that differ. If the sum of `from` is
// not known, all of `from` is hashed first.
ContentSum sumAfter(const Snapshot& from, const Snapshot& to);

// zstd. `maxBytes` limits the decompressed size, so that a small message cannot exhaust memory.
constexpr size_t maxSnapshotBytes = 16 * 1024 * 1024;
std::string compress(std::string_view bytes);
base::Result<std::string> decompress(std::string_view bytes, size_t maxBytes = maxSnapshotBytes);

const char* stateName(EndpointState); // "starting", "ready", "draining", "gone"
const char* priorityName(Priority); // "command", "lookup", "read", "archive"

} // namespace appletally::config
