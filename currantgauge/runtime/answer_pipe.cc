#include "currantgauge/runtime/answer_pipe.h"

#include <algorithm>
#include <utility>

namespace currantgauge::runtime {
namespace {

std::size_t getBodySize(const AnswerPart &Part) {
  const auto *Chunk = std::get_if<AnswerChunk>(&Part);
  return Chunk ? Chunk->Bytes.size() : 0;
}

// Appends the bytes of From to To without growing its capacity beyond
// MaxChunkBytes. Returns false if they don't fit.
bool mergeChunk(std::string &To, const std::string &From) {
  std::size_t Size = To.size() + From.size();
  if (Size > MaxChunkBytes)
    return false;
  if (Size > To.capacity())
    To.reserve(std::min(MaxChunkBytes, std::max(Size, 2 * To.capacity())));
  To += From;
  return true;
}

// A queued part costs far more memory than its bytes if these are few, and a
// backend server chooses the size of the pieces.
template <typename PartList> void appendPart(PartList &Parts, AnswerPart Part) {
  auto *Chunk = std::get_if<AnswerChunk>(&Part);
  auto *Last =
      Parts.empty() ? nullptr : std::get_if<AnswerChunk>(&Parts.back());
  if (Chunk && Last && mergeChunk(Last->Bytes, Chunk->Bytes))
    return;
  Parts.push_back(std::move(Part));
}

// Stops recording and discards what was recorded when the answer exceeds
// MaxRecordedBytes, because a truncated answer is useless.
void recordPart(AnswerPipe &Pipe, const AnswerPart &Part) {
  if (!Pipe.Record)
    return;
  Pipe.RecordedBytes += getBodySize(Part);
  if (Pipe.RecordedBytes > MaxRecordedBytes) {
    Pipe.Record = false;
    Pipe.Recorded.clear();
    return;
  }
  appendPart(Pipe.Recorded, Part);
}

// The bytes of a pipe are held even beyond the budget, as its writer has to
// push what it has already read.
bool hasBudgetLocked(const AnswerPipe &Pipe) {
  return !Pipe.Budget || Pipe.Hold.Size.Bytes >= Pipe.Bytes;
}

void updateHoldLocked(AnswerPipe &Pipe) {
  if (Pipe.Budget)
    tryHold(Pipe.Hold, *Pipe.Budget, base::ByteCount{Pipe.Bytes});
}

// A cancelled pipe always has room, because its reader may never pop the parts
// that a writer would wait for. The caller must hold Pipe.Mutex.
bool hasRoomLocked(const AnswerPipe &Pipe) {
  return Pipe.Cancelled || Pipe.Bytes < MinPipeBytes ||
         (Pipe.Bytes < MaxPipeBytes && hasBudgetLocked(Pipe));
}

// A writer without room waits until the pipe crosses one of the two limits.
bool hasCrossedLimit(std::size_t Before, std::size_t After) {
  return (Before >= MaxPipeBytes && After < MaxPipeBytes) ||
         (Before >= MinPipeBytes && After < MinPipeBytes);
}

void runIfSet(const std::function<void()> &Callback) {
  if (Callback)
    Callback();
}

} // namespace

// In all functions below, callbacks are copied and run after the mutex is
// released, so that they may call into the pipe.
bool pushPart(AnswerPipe &Pipe, AnswerPart Part) {
  std::function<void()> WakeCallback;
  bool HasRoom = false;
  {
    std::lock_guard<std::mutex> Guard(Pipe.Mutex);
    if (Pipe.Ended)
      return true;
    Pipe.Ended = std::holds_alternative<AnswerEnd>(Part);
    if (!Pipe.Ended)
      recordPart(Pipe, Part);
    if (!Pipe.Cancelled || Pipe.Ended) {
      Pipe.Bytes += getBodySize(Part);
      updateHoldLocked(Pipe);
      appendPart(Pipe.Parts, std::move(Part));
    }
    HasRoom = hasRoomLocked(Pipe);
    WakeCallback = Pipe.WakeReader;
  }
  runIfSet(WakeCallback);
  return HasRoom;
}

std::optional<AnswerPart> popPart(AnswerPipe &Pipe) {
  std::function<void()> WakeCallback;
  std::optional<AnswerPart> Part;
  {
    std::lock_guard<std::mutex> Guard(Pipe.Mutex);
    if (Pipe.Parts.empty())
      return std::nullopt;
    Part = std::move(Pipe.Parts.front());
    Pipe.Parts.pop_front();
    std::size_t Before = Pipe.Bytes;
    Pipe.Bytes -= getBodySize(*Part);
    updateHoldLocked(Pipe);
    if (hasCrossedLimit(Before, Pipe.Bytes))
      WakeCallback = Pipe.WakeWriter;
  }
  runIfSet(WakeCallback);
  return Part;
}

bool hasRoom(AnswerPipe &Pipe) {
  std::lock_guard<std::mutex> Guard(Pipe.Mutex);
  return hasRoomLocked(Pipe);
}

void setWakeReader(AnswerPipe &Pipe, std::function<void()> Callback) {
  bool RunNow = false;
  {
    std::lock_guard<std::mutex> Guard(Pipe.Mutex);
    Pipe.WakeReader = Callback;
    RunNow = !Pipe.Parts.empty();
  }
  if (RunNow)
    runIfSet(Callback);
}

void setWakeWriter(AnswerPipe &Pipe, std::function<void()> Callback) {
  std::lock_guard<std::mutex> Guard(Pipe.Mutex);
  Pipe.WakeWriter = std::move(Callback);
}

void setOnCancel(AnswerPipe &Pipe, std::function<void()> Callback) {
  bool RunNow = false;
  {
    std::lock_guard<std::mutex> Guard(Pipe.Mutex);
    Pipe.OnCancel = Callback;
    RunNow = Pipe.Cancelled;
  }
  if (RunNow)
    runIfSet(Callback);
}

void cancelPipe(AnswerPipe &Pipe) {
  std::function<void()> CancelCallback, WakeCallback;
  {
    std::lock_guard<std::mutex> Guard(Pipe.Mutex);
    if (Pipe.Cancelled)
      return;
    Pipe.Cancelled = true;
    CancelCallback = Pipe.OnCancel;
    WakeCallback = Pipe.WakeWriter;
    Pipe.WakeReader = nullptr;
  }
  runIfSet(CancelCallback);
  runIfSet(WakeCallback);
}

} // namespace currantgauge::runtime
