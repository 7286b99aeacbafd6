// A bounded queue that streams the answer of one attempt from one traffic
// thread to another, with back-pressure.
//
//   writer: if (!pushPart(*Pipe, AnswerChunk{Bytes})) waitForWriterWake();
//   reader: while (auto Part = popPart(*Pipe)) ...
#ifndef CURRANTGAUGE_RUNTIME_ANSWER_PIPE_H
#define CURRANTGAUGE_RUNTIME_ANSWER_PIPE_H

#include "currantgauge/core/request.h"
#include "currantgauge/runtime/memory_budget.h"
#include "currantgauge/runtime/message.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace currantgauge::runtime {

// AnswerHead is the status and the header fields.
struct AnswerHead {
  std::uint32_t Status = 0;
  HeaderList Headers;
};
// AnswerChunk is a piece of the body.
struct AnswerChunk {
  std::string Bytes;
};
// AnswerEnd is the last part: the outcome of the attempt, as its owner reports
// it.
struct AnswerEnd {
  core::AttemptOutcome Outcome;
};

using AnswerPart = std::variant<AnswerHead, AnswerChunk, AnswerEnd>;

// MaxPipeBytes is the number of queued body bytes at which the writer has to
// wait.
constexpr std::size_t MaxPipeBytes = 256 * 1024;
// MaxChunkBytes is the size up to which queued pieces of a body are merged.
constexpr std::size_t MaxChunkBytes = 16 * 1024;
// MinPipeBytes takes the place of MaxPipeBytes while the budget is exhausted.
constexpr std::size_t MinPipeBytes = MaxChunkBytes;
// MaxRecordedBytes is the body size of the largest answer that is recorded, to
// be replayed to later requests.
constexpr std::size_t MaxRecordedBytes = 256 * 1024;

// AnswerPipe is shared by one writer and one reader. A callback runs on the
// thread of the other side, or immediately on the one that sets it, and must
// only hand work over to its own thread.
struct AnswerPipe
    : boost::intrusive_ref_counter<AnswerPipe, boost::thread_safe_counter> {
  std::mutex Mutex;
  std::deque<AnswerPart> Parts;
  std::size_t Bytes = 0; // of the body, in Parts
  bool Ended = false;    // AnswerEnd was pushed
  bool Cancelled = false;
  bool Record = false; // copy all parts but AnswerEnd to Recorded
  std::size_t RecordedBytes = 0;
  std::vector<AnswerPart> Recorded;
  MemoryBudget *Budget = nullptr; // of all pipes; null: unlimited
  MemoryHold Hold;                // of Bytes, unless Budget is exhausted
  std::function<void()> WakeReader;
  std::function<void()> WakeWriter;
  std::function<void()> OnCancel;
};

using AnswerPipePtr = boost::intrusive_ptr<AnswerPipe>;

// pushPart() appends a part. A piece of the body is merged into the one queued
// before it, up to MaxChunkBytes. Returns false if the writer should wait for
// WakeWriter before it pushes the next one. Parts after an AnswerEnd are
// dropped. After cancelPipe() all parts but AnswerEnd are only recorded, if
// Record is set.
bool pushPart(AnswerPipe &Pipe, AnswerPart Part);

// popPart() returns the next part, or none if the queue is empty.
std::optional<AnswerPart> popPart(AnswerPipe &Pipe);

// hasRoom() returns whether the writer may push another part now.
bool hasRoom(AnswerPipe &Pipe);

// setWakeReader() sets the callback that runs when a part is pushed. Runs it
// immediately if parts are queued.
void setWakeReader(AnswerPipe &Pipe, std::function<void()> Callback);

// setWakeWriter() sets the callback that runs when a full pipe has room again
// or is cancelled.
void setWakeWriter(AnswerPipe &Pipe, std::function<void()> Callback);

// setOnCancel() sets the callback that runs on cancelPipe(). Runs it
// immediately if the pipe is already cancelled.
void setOnCancel(AnswerPipe &Pipe, std::function<void()> Callback);

// cancelPipe() tells the writer that the reader no longer needs the answer:
// OnCancel runs, a waiting writer is woken, and of the parts pushed later only
// AnswerEnd is queued. The reader is no longer woken.
void cancelPipe(AnswerPipe &Pipe);

} // namespace currantgauge::runtime

#endif // CURRANTGAUGE_RUNTIME_ANSWER_PIPE_H
