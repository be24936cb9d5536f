// A whole configuration submitted by an operator's own tool, as an alternative to the questionnaire: all routes and
// services, under a number that the operator assigns.
//
// The tool must get back exactly what it sent, including parts that have no meaning here, so each resource is stored
// both as text and parsed. Comparing texts shows what changed since the previous document: a document of 300 routes
// that changes one costs one route in the log, on disk and on the wire, which sustains 16 documents per second on a
// tenth of a core.
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

using DocumentNumber = base::Number<struct DocumentTag>; // assigned by the operator; increasing, with gaps; 0: none yet

// Identifies a document. A resend repeats it exactly.
struct DocumentId {
    DocumentNumber number;
    DocumentNumber base; // the document that it was built on
    std::string digest; // of the bytes as sent
    bool operator==(const DocumentId&) const = default;
};

// One resource, parsed and as sent.
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

// The texts of the current document.
struct DocumentTexts {
    std::map<base::RouteName, std::string> routes;
    std::map<base::ServiceName, std::string> services;
    std::map<std::string, std::string> others;
    bool operator==(const DocumentTexts&) const = default;
};

// The difference from the previous document.
struct DocumentChange {
    std::vector<DocumentRoute> routes; // new or changed
    std::vector<base::RouteName> removedRoutes;
    std::vector<DocumentService> services;
    std::vector<base::ServiceName> removedServices;
    CallerLimits limits; // complete, also where unchanged
    std::map<std::string, std::string> others; // complete, also where unchanged
};

// Part of the replicated state.
struct DocumentRecord {
    DocumentId current;
    DocumentTexts texts;
    std::deque<DocumentId> accepted; // oldest first, the current one last
    bool operator==(const DocumentRecord&) const = default;
};

// Requests with lost acknowledgements are resent for a few seconds, and a day has a few thousand changes. A resend that
// is older than all of these is refused as a conflict with later documents, which is a correct answer.
constexpr size_t maxDocumentIds = 4096;

DocumentChange changeFrom(const DocumentTexts&, const Document&);
bool wasAccepted(const DocumentRecord&, const DocumentId&);

base::Json toJson(const DocumentId&);
void write(base::JsonWriter&, const DocumentChange&);
DocumentId readDocumentId(base::JsonReader);
DocumentChange readDocumentChange(base::JsonReader);

} // namespace appletally::config
