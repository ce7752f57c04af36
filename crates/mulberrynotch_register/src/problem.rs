//! What is wrong with a document, where, and what to do about it.

use std::fmt;

mulberrynotch_macros::data! {
    /// A step from a document's value to a part of it.
    #[derive(Copy)]
    pub enum Step {
        /// The value of a key.
        Key(&'static str),
        /// An element of a list, from 0.
        Index(usize),
    }

    /// Where a part of a document is, as the steps that lead to it.
    #[derive(Default)]
    pub struct Path(pub Vec<Step>);

    /// A rule that a model breaks.
    pub struct Fault {
        /// Part of the document that is at fault.
        pub path: Path,
        /// What is wrong.
        pub message: String,
        /// What to do about it.
        pub remedy: String,
    }

    /// A fault in a text.
    pub struct Problem {
        /// Line, from 1.
        pub line: usize,
        /// Column in characters, from 1.
        pub column: usize,
        /// What is wrong.
        pub message: String,
        /// What to do about it.
        pub remedy: String,
    }
}

impl Path {
    /// The path of the value of `key` below this one.
    #[must_use]
    pub fn key(&self, key: &'static str) -> Self {
        self.step(Step::Key(key))
    }

    /// The path of the element `index` below this one.
    #[must_use]
    pub fn index(&self, index: usize) -> Self {
        self.step(Step::Index(index))
    }

    fn step(&self, step: Step) -> Self {
        let mut steps = Vec::with_capacity(self.0.len() + 1);
        steps.extend_from_slice(&self.0);
        steps.push(step);
        Self(steps)
    }
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, step) in self.0.iter().enumerate() {
            match step {
                Step::Key(key) if position == 0 => write!(f, "{key}")?,
                Step::Key(key) => write!(f, ".{key}")?,
                Step::Index(index) => write!(f, "[{index}]")?,
            }
        }
        Ok(())
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.path, self.message, self.remedy)
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            line,
            column,
            message,
            remedy,
        } = self;
        write!(f, "{line}:{column}: {message}; {remedy}")
    }
}
