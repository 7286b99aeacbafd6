// The way of one attempt's answer from where it arrives to where it goes: a
// bounded queue between two traffic threads, with back-pressure both ways.
//
//   writer: if (!pushPart(*Pipe, AnswerChunk{Bytes})) waitForWriterWake();
//   reader: while (auto Part = popPart(*Pipe)) ...
#ifndef CURRANTGAUGE_RUNTIME_ANSWER_PIPE_H
#define CURRANTGAUGE_RUNTIME_ANSWER_PIPE_H

#include "currantgauge/core/request.h"
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

// AnswerHead is a backend server's status line and header.
struct AnswerHead {
  std::uint32_t Status = 0;
  HeaderList Headers;
};
// AnswerChunk is a part of the body.
struct AnswerChunk {
  std::string Bytes;
};
// AnswerEnd is the last part: the owner's word on how the attempt ended.
struct AnswerEnd {
  core::AttemptOutcome Outcome;
};

using AnswerPart = std::variant<AnswerHead, AnswerChunk, AnswerEnd>;

// MaxPipeBytes is how many bytes a pipe holds before its writer has to wait.
constexpr std::size_t MaxPipeBytes = 256 * 1024;
// MaxRecordedBytes is how many bytes of an answer are kept for a later ask.
constexpr std::size_t MaxRecordedBytes = 256 * 1024;

// AnswerPipe is shared by its writer and its reader. Its callbacks run on the
// thread of the other side and only hand work on.
struct AnswerPipe
    : boost::intrusive_ref_counter<AnswerPipe, boost::thread_safe_counter> {
  std::mutex Mutex;
  std::deque<AnswerPart> Parts;
  std::size_t Bytes = 0;
  bool Ended = false;
  bool Cancelled = false;
  bool Record = false; // keep a copy of the parts, up to MaxRecordedBytes
  std::size_t RecordedBytes = 0;
  std::vector<AnswerPart> Recorded;
  std::function<void()> WakeReader;
  std::function<void()> WakeWriter;
  std::function<void()> OnCancel;
};

using AnswerPipePtr = boost::intrusive_ptr<AnswerPipe>;

// pushPart() appends a part. Returns false when the writer should wait for
// WakeWriter before the next one. Parts after an AnswerEnd are dropped.
bool pushPart(AnswerPipe &Pipe, AnswerPart Part);

// popPart() returns the next part, none when there is none yet.
std::optional<AnswerPart> popPart(AnswerPipe &Pipe);

// hasRoom() says whether a writer may push now.
bool hasRoom(AnswerPipe &Pipe);

// setWakeReader() sets what runs when parts arrive; runs it at once if any
// wait.
void setWakeReader(AnswerPipe &Pipe, std::function<void()> Wake);

// setWakeWriter() sets what runs when there is room again.
void setWakeWriter(AnswerPipe &Pipe, std::function<void()> Wake);

// setOnCancel() sets what runs on cancelPipe(); runs it at once if that was
// already called.
void setOnCancel(AnswerPipe &Pipe, std::function<void()> Call);

// cancelPipe() says that the reader no longer wants the answer: a writer that
// waits is woken, and what it pushes is dropped, but for the end.
void cancelPipe(AnswerPipe &Pipe);

} // namespace currantgauge::runtime

#endif // CURRANTGAUGE_RUNTIME_ANSWER_PIPE_H
