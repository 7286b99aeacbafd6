#include "currantgauge/peer/answer_codec.h"

#include "currantgauge/peer/codec.h"

#include <utility>
#include <variant>

namespace currantgauge::peer {
namespace {

template <typename Fields>
void headersToWire(const runtime::HeaderList &From, Fields *To) {
  for (const auto &[Name, Value] : From) {
    v1::Header *Field = To->Add();
    Field->set_name(Name);
    Field->set_value(Value);
  }
}

template <typename Fields>
void headersFromWire(const Fields &From, runtime::HeaderList &To) {
  for (const v1::Header &Field : From)
    To.emplace_back(Field.name(), Field.value());
}

} // namespace

void toWire(runtime::AnswerPart From, v1::AnswerPart &To) {
  if (auto *Head = std::get_if<runtime::AnswerHead>(&From)) {
    To.mutable_head()->set_status(Head->Status);
    headersToWire(Head->Headers, To.mutable_head()->mutable_headers());
  } else if (auto *Chunk = std::get_if<runtime::AnswerChunk>(&From)) {
    To.set_chunk(std::move(Chunk->Bytes));
  } else {
    toWire(std::get<runtime::AnswerEnd>(From).Outcome, *To.mutable_end());
  }
}

bool fromWire(v1::AnswerPart &From, runtime::AnswerPart &To) {
  switch (From.part_case()) {
  case v1::AnswerPart::kHead: {
    runtime::AnswerHead Head;
    Head.Status = From.head().status();
    headersFromWire(From.head().headers(), Head.Headers);
    To = std::move(Head);
    return true;
  }
  case v1::AnswerPart::kChunk:
    To = runtime::AnswerChunk{std::move(*From.mutable_chunk())};
    return true;
  case v1::AnswerPart::kEnd: {
    runtime::AnswerEnd End;
    bool Valid = fromWire(From.end(), End.Outcome);
    To = std::move(End);
    return Valid;
  }
  default:
    return false;
  }
}

runtime::AnswerEnd makeEnd(base::Verdict Verdict, base::Reason Reason,
                           base::Duration RetryAfter) {
  runtime::AnswerEnd End;
  End.Outcome.Verdict = Verdict;
  End.Outcome.Reason = Reason;
  End.Outcome.RetryAfter = RetryAfter;
  return End;
}

void toWire(const runtime::RequestMessage &From, v1::ForwardRequest &To) {
  To.set_method(From.Method);
  To.set_target(From.Target);
  headersToWire(From.Headers, To.mutable_headers());
}

void fromWire(const v1::ForwardRequest &From, runtime::RequestMessage &To) {
  To.Method = From.method();
  To.Target = From.target();
  headersFromWire(From.headers(), To.Headers);
}

} // namespace currantgauge::peer
