// A dialect of HTTP as spoken with callers and backend servers: the names of
// the header fields for deadlines, ids and confirmations, and the meaning of
// statuses. It is data that the HTTP codecs read.
//
//   HttpDialect Native = nativeDialect();
//   Request.set(Native.TimeoutField, "250");
#ifndef CURRANTGAUGE_HTTP_DIALECT_H
#define CURRANTGAUGE_HTTP_DIALECT_H

#include <string>

namespace currantgauge::http {

// HttpDialect describes a dialect. A field whose name is empty is neither read
// nor sent.
struct HttpDialect {
  std::string TimeoutField;   // time left until the deadline, in milliseconds
  std::string WorkspaceField; // from callers
  std::string IdempotencyKeyField; // from callers
  std::string ActionIdField;       // from callers
  // From callers: the key that identifies them. Never forwarded.
  std::string KeyField;

  // In requests to backend servers. AttemptIdField carries the caller's attempt
  // id if ForwardsAttemptId is set, otherwise this node's.
  std::string AttemptIdField;
  bool ForwardsAttemptId = false;
  std::string RequestIdField;      // this node's id of the request
  std::string ExpectedServerField; // the only server that may run it
  std::string CallerServiceField;  // service of the caller's VM
  std::string SentWorkspaceField;  // workspace of the request, if it has one

  // In answers of backend servers.
  std::string NotRunField; // confirms that the server did not run the request
  std::string SignatureField; // a success without it is invalid
  // Answers repeat AttemptIdField: one with another value is stale.
  bool EchoesAttemptId = false;
  // An orderly close ends a close-delimited answer; otherwise such an answer
  // counts as cut short.
  bool CloseDelimitedIsComplete = false;

  // In answers to callers.
  bool AddsMetadataFields = true;    // verdict, reason, request id and server
  bool StatusConfirmsNotRun = false; // 503 and 429 only for requests not run
  bool FractionalRetryAfter = false;
  bool IssuesActionIds = true;
};

// nativeDialect() returns the dialect defined by this project.
HttpDialect nativeDialect();

} // namespace currantgauge::http

#endif // CURRANTGAUGE_HTTP_DIALECT_H
