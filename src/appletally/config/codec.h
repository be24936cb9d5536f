// Bytes of what travels or is stored: snapshots, endpoints, evidence. JSON in one canonical form (sorted keys, no
// spaces), so that equal values have equal bytes and one hash tells whether two processes hold the same.
//
// JSON and not CBOR: snapshots are compressed anyway, and the library's CBOR reader recurses, so that some hundred
// kilobytes of nested arrays from a broken peer would end the process by its stack. Endpoints and evidence, which are
// sent often and alone, are arrays without keys.
//
// Decoding refuses anything unknown, mistyped or out of range with MessageMalformed; nothing is guessed.
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

// With keys, for dumps and as the parts of larger messages.
base::Json toJson(const Service&);
base::Json toJson(const Route&);
base::Json toJson(const Rollout&);
base::Json toJson(const KeeperSet&);
base::Json toJson(const ControlTiming&);
base::Json toJson(const CallerLimits&);
base::Json toJson(const Snapshot&);
base::Json toJson(const Endpoint&);
base::Json toJson(const Evidence&);

// Writes the same bytes as encode(toJson(it)) without building a JSON tree.
void write(base::JsonWriter&, const Service&);
void write(base::JsonWriter&, const Route&);

// The reading side; each reads and finishes the reader. Problems go to the reader.
Service readService(base::JsonReader);
Route readRoute(base::JsonReader);
Rollout readRollout(base::JsonReader);
KeeperSet readKeeperSet(base::JsonReader);
ControlTiming readControlTiming(base::JsonReader);
CallerLimits readCallerLimits(base::JsonReader);

std::string encode(const base::Json&); // canonical; text that is not UTF-8 is replaced
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

// XXH3, 64 bits: tells apart what is different by accident, not by malice.
uint64_t contentHash(std::string_view bytes);

// Of everything in the snapshot but its version, which a change of nothing else may raise.
uint64_t contentHash(const Snapshot&);

// The sum of `to`, which differs from `from` in some resources only; whole where the sum of `from` is not known.
ContentSum sumAfter(const Snapshot& from, const Snapshot& to);

// zstd. `mostBytes` bounds what comes out, so that a small message cannot fill the memory.
constexpr size_t maxSnapshotBytes = 16 * 1024 * 1024;
std::string compress(std::string_view bytes);
base::Result<std::string> decompress(std::string_view bytes, size_t maxBytes = maxSnapshotBytes);

const char* stateName(EndpointState); // "starting", "ready", "draining", "gone"
const char* priorityName(Priority); // "command", "lookup", "read", "archive"

} // namespace appletally::config
