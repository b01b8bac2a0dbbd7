//! `POST /v1/chat/completions`: runs one stream and answers it, streamed or whole.

use std::{convert::Infallible, sync::Arc};

use clem_fake::{
    model::{SubmitError, Work},
    prefix::Prompt,
    tokens,
};
use futures_util::{Stream, stream};
use salvo::{
    Response,
    http::{HeaderValue, StatusCode, header},
};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc::UnboundedReceiver;

use super::{
    settings::ModelName,
    state::{EngineState, Event},
};
use crate::{
    http::{self, Refusal},
    request_log::{Outcome, Record},
};

/// The length of an answer in tokens when the request has no `max_tokens`.
const DEFAULT_TOKENS: u32 = 16;

#[derive(Debug, Deserialize)]
struct ChatRequest {
    model: String,
    messages: Vec<Message>,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    resume: Resume,
    #[serde(default)]
    cache_salt: String,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    content: String,
}

#[derive(Debug, Default, Deserialize)]
struct Resume {
    tokens: u32,
}

#[derive(Debug, Serialize)]
struct Chunk<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    index: u32,
    choices: [ChunkChoice; 1],
}

#[derive(Debug, Serialize)]
struct ChunkChoice {
    index: u32,
    delta: Delta,
    finish_reason: Option<&'static str>,
}

#[derive(Debug, Default, Serialize)]
struct Delta {
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<String>,
}

#[derive(Debug, Serialize)]
struct Completion<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: [CompletionChoice; 1],
    usage: Usage,
}

#[derive(Debug, Serialize)]
struct CompletionChoice {
    index: u32,
    message: AnswerMessage,
    finish_reason: &'static str,
}

#[derive(Debug, Serialize)]
struct AnswerMessage {
    role: &'static str,
    content: String,
}

#[derive(Debug, Serialize)]
struct Usage {
    prompt_tokens: u32,
    completion_tokens: u32,
    cached_tokens: u32,
}

/// A stream with its connection; dropping it before its end cancels the stream.
struct Answer {
    state: Arc<EngineState>,
    record: Record,
    events: UnboundedReceiver<Event>,
    prompt: Prompt,
    model: String,
    first: u32,
    total: u32,
    sent: u32,
    /// The finish reason of a complete answer, `length` or `stop`.
    reason: &'static str,
    ended: bool,
}

impl Drop for Answer {
    fn drop(&mut self) {
        if !self.ended {
            self.record.close(Outcome::Dropped, Some(self.sent));
            self.state.cancel(&self.record.id);
        }
    }
}

/// Runs one chat request and answers it.
pub(crate) async fn answer(
    state: &Arc<EngineState>,
    body: &str,
    mut record: Record,
    res: &mut Response,
) {
    let request: ChatRequest = match serde_json::from_str(body) {
        Ok(request) => request,
        Err(error) => return http::refuse(res, &mut record, &Refusal::bad_request(error)),
    };
    let Some(model) = state.lock().models.resolve(&request.model) else {
        let message = format!("{} is not loaded", request.model);
        let refusal = Refusal::new(StatusCode::NOT_FOUND, "model_not_loaded", message);
        return http::refuse(res, &mut record, &refusal);
    };
    let streamed = request.stream;
    let answer = match start(state, body, &request, model, &record) {
        Ok(started) => started.answer(state, record),
        Err(refusal) => return http::refuse(res, &mut record, &refusal),
    };
    if streamed {
        let sse = HeaderValue::from_static("text/event-stream");
        res.headers_mut().insert(header::CONTENT_TYPE, sse);
        res.stream(answer.into_events());
        return;
    }
    answer.collect(res).await;
}

/// A stream that was submitted to the engine.
struct Started {
    events: UnboundedReceiver<Event>,
    prompt: Prompt,
    model: String,
    first: u32,
    total: u32,
    reason: &'static str,
}

fn start(
    state: &EngineState,
    body: &str,
    request: &ChatRequest,
    model: ModelName,
    record: &Record,
) -> Result<Started, Refusal> {
    let messages = request.messages.iter();
    let text = tokens::prompt_text(messages.map(|m| (m.role.as_str(), m.content.as_str())));
    let prompt = Prompt::new(&request.cache_salt, &text);
    let total = request.max_tokens.unwrap_or(DEFAULT_TOKENS);
    let first = request.resume.tokens;
    if first > total {
        return Err(Refusal::bad_request("resume.tokens exceeds max_tokens"));
    }
    let work = Work {
        id: record.id.clone(),
        prompt: prompt.clone(),
        first,
        total,
    };
    let name = format!("{}@{}", model.model, model.version);
    let events = state
        .submit(work, model, body)
        .map_err(|error| match error {
            SubmitError::DuplicateId => Refusal::new(StatusCode::CONFLICT, "duplicate_id", error),
            SubmitError::TooLarge => Refusal::new(StatusCode::BAD_REQUEST, "too_large", error),
        })?;
    Ok(Started {
        events,
        prompt,
        model: name,
        first,
        total,
        reason: if request.max_tokens.is_some() {
            "length"
        } else {
            "stop"
        },
    })
}

impl Started {
    fn answer(self, state: &Arc<EngineState>, record: Record) -> Answer {
        Answer {
            state: Arc::clone(state),
            record,
            events: self.events,
            prompt: self.prompt,
            model: self.model,
            first: self.first,
            total: self.total,
            sent: 0,
            reason: self.reason,
            ended: false,
        }
    }
}

impl Answer {
    fn end(&mut self, outcome: Outcome) {
        self.ended = true;
        self.record.close(outcome, Some(self.sent));
    }

    /// Converts the answer into a stream of server-sent events.
    fn into_events(self) -> impl Stream<Item = Result<String, Infallible>> {
        stream::unfold(self, |mut answer| async move {
            if answer.ended {
                return None;
            }
            let text = answer.next_event().await?;
            Some((Ok(text), answer))
        })
    }

    async fn next_event(&mut self) -> Option<String> {
        let text = match self.events.recv().await? {
            Event::Token(index) => {
                self.sent += 1;
                let last = index + 1 == self.total;
                let reason = last.then_some(self.reason);
                let content = tokens::token(&self.prompt.hash, index);
                self.chunk(index, Some(content), reason)
            }
            Event::Finished { .. } => {
                self.end(Outcome::Done);
                "data: [DONE]\n\n".to_owned()
            }
            Event::Cancelled => {
                self.end(Outcome::Cancelled);
                self.chunk(self.first + self.sent, None, Some("cancelled"))
            }
            Event::Parked { tokens } => {
                self.end(Outcome::Parked);
                self.chunk(tokens, None, Some("parked"))
            }
        };
        Some(text)
    }

    fn chunk(&self, index: u32, content: Option<String>, reason: Option<&'static str>) -> String {
        let chunk = Chunk {
            id: &self.record.id,
            object: "chat.completion.chunk",
            model: &self.model,
            index,
            choices: [ChunkChoice {
                index: 0,
                delta: Delta { content },
                finish_reason: reason,
            }],
        };
        let json = serde_json::to_string(&chunk).unwrap_or_default();
        format!("data: {json}\n\n")
    }

    /// Waits for the end of the stream and sends the answer without streaming.
    async fn collect(mut self, res: &mut Response) {
        let conflict = |code, message| Refusal::new(StatusCode::CONFLICT, code, message);
        loop {
            match self.events.recv().await {
                Some(Event::Token(_)) => self.sent += 1,
                Some(Event::Finished { cached }) => {
                    self.end(Outcome::Done);
                    return http::send_json(res, &self.completion(cached));
                }
                Some(Event::Parked { tokens }) => {
                    self.end(Outcome::Parked);
                    let refusal = conflict("parked", format!("parked with {tokens} tokens"));
                    return http::send_refusal(res, &refusal);
                }
                Some(Event::Cancelled) | None => {
                    self.end(Outcome::Cancelled);
                    let refusal = conflict("cancelled", "the stream was cancelled".to_owned());
                    return http::send_refusal(res, &refusal);
                }
            }
        }
    }

    fn completion(&self, cached: u32) -> Completion<'_> {
        let choice = CompletionChoice {
            index: 0,
            message: AnswerMessage {
                role: "assistant",
                content: tokens::answer(&self.prompt.hash, self.first, self.total),
            },
            finish_reason: self.reason,
        };
        Completion {
            id: &self.record.id,
            object: "chat.completion",
            model: &self.model,
            choices: [choice],
            usage: Usage {
                prompt_tokens: self.prompt.tokens,
                completion_tokens: self.total - self.first,
                cached_tokens: cached,
            },
        }
    }
}
