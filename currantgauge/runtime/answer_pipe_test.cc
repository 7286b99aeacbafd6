#include "currantgauge/runtime/answer_pipe.h"

#include <doctest/doctest.h>

namespace currantgauge::runtime {

TEST_CASE("a full pipe makes its writer wait until the reader pops parts") {
  AnswerPipePtr Pipe(new AnswerPipe);
  int Woken = 0;
  setWakeWriter(*Pipe, [&] { ++Woken; });
  CHECK(pushPart(*Pipe, AnswerHead{200, {}}));
  CHECK_FALSE(pushPart(*Pipe, AnswerChunk{std::string(MaxPipeBytes, 'x')}));
  CHECK_FALSE(hasRoom(*Pipe));
  popPart(*Pipe);
  CHECK(Woken == 0);
  popPart(*Pipe);
  CHECK(Woken == 1);
  CHECK(hasRoom(*Pipe));
}

TEST_CASE("parts pushed after AnswerEnd are dropped") {
  AnswerPipePtr Pipe(new AnswerPipe);
  pushPart(*Pipe, AnswerEnd{});
  pushPart(*Pipe, AnswerChunk{"late"});
  CHECK(std::holds_alternative<AnswerEnd>(*popPart(*Pipe)));
  CHECK_FALSE(popPart(*Pipe).has_value());
}

TEST_CASE("an answer over the recording limit is not recorded at all") {
  AnswerPipePtr Pipe(new AnswerPipe);
  Pipe->Record = true;
  pushPart(*Pipe, AnswerHead{200, {}});
  CHECK(Pipe->Recorded.size() == 1);
  pushPart(*Pipe, AnswerChunk{std::string(MaxRecordedBytes + 1, 'x')});
  CHECK(Pipe->Recorded.empty());
}

TEST_CASE("cancelling a full pipe wakes its writer, which then never waits") {
  AnswerPipePtr Pipe(new AnswerPipe);
  int Woken = 0;
  setWakeWriter(*Pipe, [&] { ++Woken; });
  CHECK_FALSE(pushPart(*Pipe, AnswerChunk{std::string(MaxPipeBytes, 'x')}));
  cancelPipe(*Pipe);
  CHECK(Woken == 1);
  CHECK(hasRoom(*Pipe));
  CHECK(pushPart(*Pipe, AnswerChunk{std::string(MaxPipeBytes, 'y')}));
  CHECK(Pipe->Bytes == MaxPipeBytes);
  pushPart(*Pipe, AnswerEnd{});
  CHECK(Pipe->Ended);
}

TEST_CASE("a cancelled pipe still records the answer") {
  AnswerPipePtr Pipe(new AnswerPipe);
  Pipe->Record = true;
  cancelPipe(*Pipe);
  pushPart(*Pipe, AnswerHead{200, {}});
  pushPart(*Pipe, AnswerChunk{"done"});
  CHECK(Pipe->Recorded.size() == 2);
  CHECK(Pipe->Parts.empty());
}

TEST_CASE("a callback set after the cancel runs immediately") {
  AnswerPipePtr Pipe(new AnswerPipe);
  cancelPipe(*Pipe);
  bool Cancelled = false;
  setOnCancel(*Pipe, [&] { Cancelled = true; });
  CHECK(Cancelled);
}

} // namespace currantgauge::runtime
