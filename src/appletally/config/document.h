// A whole configuration handed in by an operator's own tool, beside the questionnaire: all its routes and services, under
// a number of the operator's.
//
// The tool gets back what it sent, also the parts that mean nothing here, so each resource is kept twice: as text, and
// as what it says. Texts tell what changed since the document before: a document of 300 routes that changes one costs
// one route in the log, on the disks and on the wire, which is what keeps up with sixteen a second on a tenth of a core.
#pragma once

#include "appletally/base/json_reader.h"
#include "appletally/base/json_writer.h"
#include "appletally/base/result.h"
#include "appletally/config/model.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace appletally::config {

using DocumentNumber = base::Number<struct DocumentTag>; // the operator's; rises, unevenly; 0: none yet

// Which document was accepted, in words that a resend repeats exactly.
struct DocumentId {
    DocumentNumber number;
    DocumentNumber base; // the document that it was built on
    std::string digest; // of the bytes as they were sent
    bool operator==(const DocumentId&) const = default;
};

// One resource: what it says, and as it was sent.
struct DocumentRoute {
    Route route;
    std::string text;
};

struct DocumentService {
    Service service;
    std::string text;
};

struct Document {
    DocumentId id;
    std::map<base::RouteName, DocumentRoute> routes;
    std::map<base::ServiceName, DocumentService> services;
    CallerLimits limits;
    std::map<std::string, std::string> others; // further parts of the document by name, as text
};

// The texts of the document in force.
struct DocumentTexts {
    std::map<base::RouteName, std::string> routes;
    std::map<base::ServiceName, std::string> services;
    std::map<std::string, std::string> others;
    bool operator==(const DocumentTexts&) const = default;
};

// What differs from the document before.
struct DocumentChange {
    std::vector<DocumentRoute> routes; // new or changed
    std::vector<base::RouteName> removedRoutes;
    std::vector<DocumentService> services;
    std::vector<base::ServiceName> removedServices;
    CallerLimits limits; // always
    std::map<std::string, std::string> others; // always
};

// Part of the agreed state.
struct DocumentRecord {
    DocumentId current;
    DocumentTexts texts;
    std::deque<DocumentId> accepted; // oldest first, the current one last
    bool operator==(const DocumentRecord&) const = default;
};

// Lost acknowledgements are resent for seconds, and a day has some thousand changes; a resend that is older than all of
// these is refused as a conflict with what came since, which says nothing false about what is in force.
constexpr size_t maxDocumentIds = 4096;

DocumentChange changeFrom(const DocumentTexts&, const Document&);
bool wasAccepted(const DocumentRecord&, const DocumentId&);

base::Json toJson(const DocumentId&);
void write(base::JsonWriter&, const DocumentChange&);
DocumentId readDocumentId(base::JsonReader);
DocumentChange readDocumentChange(base::JsonReader);

} // namespace appletally::config
