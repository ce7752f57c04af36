//! Problems of a document, with their position, description and remedy.

use std::fmt;

mulberrynotch_macros::data! {
    /// Step from a value of a document to one of its parts.
    #[derive(Copy)]
    pub enum Step {
        /// Selects the value of a key of an object.
        Key(&'static str),
        /// Selects an element of a list, counted from 0.
        Index(usize),
    }

    /// Location of a part of a document, as steps from the root.
    #[derive(Default)]
    pub struct Path(pub Vec<Step>);

    /// Violation of a validation rule, located by its path in the model.
    pub struct Fault {
        /// Part of the document that violates the rule.
        pub path: Path,
        /// Description of the problem.
        pub message: String,
        /// Action that resolves the problem.
        pub remedy: String,
    }

    /// Problem of a document, located by its position in the text.
    pub struct Problem {
        /// Line, from 1.
        pub line: usize,
        /// Column in characters, from 1.
        pub column: usize,
        /// Description of the problem.
        pub message: String,
        /// Action that resolves the problem.
        pub remedy: String,
    }
}

impl Path {
    /// Returns the path of the value of `key` below this path.
    #[must_use]
    pub fn key(&self, key: &'static str) -> Self {
        self.join(Step::Key(key))
    }

    /// Returns the path of the element `index` below this path.
    #[must_use]
    pub fn index(&self, index: usize) -> Self {
        self.join(Step::Index(index))
    }

    fn join(&self, step: Step) -> Self {
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
