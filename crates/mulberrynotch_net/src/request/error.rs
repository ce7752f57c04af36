//! Errors of incomplete bodies.

use quick_error::quick_error;

quick_error! {
    /// Reason for an incomplete body.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Error {
        /// The target or a peer reset the response, or its length does not match.
        Response {
            display("response body ended before it was complete; the request may have run")
        }
        /// The body of a request was aborted by the caller or by a connection error.
        Request {
            display("request body ended before it was complete; send the request again")
        }
    }
}
