#include "currantgauge/runtime/answer_pipe.h"

#include <utility>

namespace currantgauge::runtime {
namespace {

std::size_t sizeOf(const AnswerPart &Part) {
  const auto *Chunk = std::get_if<AnswerChunk>(&Part);
  return Chunk ? Chunk->Bytes.size() : 0;
}

// An answer too long to keep is not kept at all: a part of it is no answer.
void record(AnswerPipe &Pipe, const AnswerPart &Part) {
  if (!Pipe.Record)
    return;
  Pipe.RecordedBytes += sizeOf(Part);
  if (Pipe.RecordedBytes > MaxRecordedBytes) {
    Pipe.Record = false;
    Pipe.Recorded.clear();
    return;
  }
  Pipe.Recorded.push_back(Part);
}

// A cancelled pipe never makes its writer wait: nobody will take a part.
bool isRoomy(const AnswerPipe &Pipe) {
  return Pipe.Cancelled || Pipe.Bytes < MaxPipeBytes;
}

void runIf(const std::function<void()> &Call) {
  if (Call)
    Call();
}

} // namespace

// Callbacks are copied out and run without the lock, so that they may call
// back into the pipe.
bool pushPart(AnswerPipe &Pipe, AnswerPart Part) {
  std::function<void()> Wake;
  bool Room = false;
  {
    std::lock_guard<std::mutex> Guard(Pipe.Mutex);
    if (Pipe.Ended)
      return true;
    Pipe.Ended = std::holds_alternative<AnswerEnd>(Part);
    if (!Pipe.Ended)
      record(Pipe, Part);
    if (!Pipe.Cancelled || Pipe.Ended) {
      Pipe.Bytes += sizeOf(Part);
      Pipe.Parts.push_back(std::move(Part));
    }
    Room = isRoomy(Pipe);
    Wake = Pipe.WakeReader;
  }
  runIf(Wake);
  return Room;
}

std::optional<AnswerPart> popPart(AnswerPipe &Pipe) {
  std::function<void()> Wake;
  std::optional<AnswerPart> Part;
  {
    std::lock_guard<std::mutex> Guard(Pipe.Mutex);
    if (Pipe.Parts.empty())
      return std::nullopt;
    Part = std::move(Pipe.Parts.front());
    Pipe.Parts.pop_front();
    bool WasFull = Pipe.Bytes >= MaxPipeBytes;
    Pipe.Bytes -= sizeOf(*Part);
    if (WasFull && Pipe.Bytes < MaxPipeBytes)
      Wake = Pipe.WakeWriter;
  }
  runIf(Wake);
  return Part;
}

bool hasRoom(AnswerPipe &Pipe) {
  std::lock_guard<std::mutex> Guard(Pipe.Mutex);
  return isRoomy(Pipe);
}

void setWakeReader(AnswerPipe &Pipe, std::function<void()> Wake) {
  bool Now = false;
  {
    std::lock_guard<std::mutex> Guard(Pipe.Mutex);
    Pipe.WakeReader = Wake;
    Now = !Pipe.Parts.empty();
  }
  if (Now)
    runIf(Wake);
}

void setWakeWriter(AnswerPipe &Pipe, std::function<void()> Wake) {
  std::lock_guard<std::mutex> Guard(Pipe.Mutex);
  Pipe.WakeWriter = std::move(Wake);
}

void setOnCancel(AnswerPipe &Pipe, std::function<void()> Call) {
  bool Now = false;
  {
    std::lock_guard<std::mutex> Guard(Pipe.Mutex);
    Pipe.OnCancel = Call;
    Now = Pipe.Cancelled;
  }
  if (Now)
    runIf(Call);
}

void cancelPipe(AnswerPipe &Pipe) {
  std::function<void()> Call, Wake;
  {
    std::lock_guard<std::mutex> Guard(Pipe.Mutex);
    if (Pipe.Cancelled)
      return;
    Pipe.Cancelled = true;
    Call = Pipe.OnCancel;
    Wake = Pipe.WakeWriter;
    Pipe.WakeReader = nullptr;
  }
  runIf(Call);
  runIf(Wake);
}

} // namespace currantgauge::runtime
