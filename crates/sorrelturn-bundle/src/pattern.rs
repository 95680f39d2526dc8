//! Path patterns of request kinds.

/// A path pattern made of literal segments and `{name}`, which matches any single segment.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PathPattern {
    segments: Vec<Segment>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Segment {
    Literal(String),
    Any,
}

impl PathPattern {
    /// Parses a pattern. Returns `None` if it doesn't start with a slash or a segment is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        let segments = text
            .strip_prefix('/')?
            .split('/')
            .map(Segment::parse)
            .collect::<Option<_>>()?;
        Some(Self { segments })
    }

    /// Returns whether the path of a request, without its query, matches the pattern.
    pub fn matches(&self, path: &str) -> bool {
        let Some(rest) = path.strip_prefix('/') else {
            return false;
        };
        let mut path_segments = rest.split('/');
        self.segments.iter().all(|segment| {
            path_segments
                .next()
                .is_some_and(|text| segment.matches(text))
        }) && path_segments.next().is_none()
    }

    /// Returns whether some path matches both patterns, which would make the kind of a request ambiguous.
    pub fn overlaps(&self, other: &Self) -> bool {
        self.segments.len() == other.segments.len()
            && self
                .segments
                .iter()
                .zip(&other.segments)
                .all(|(left, right)| left.overlaps(right))
    }
}

impl Segment {
    fn parse(text: &str) -> Option<Self> {
        if text.starts_with('{') && text.ends_with('}') && text.len() > 2 {
            return Some(Self::Any);
        }
        let literal = !text.contains(['{', '}', '?', '#']);
        literal.then(|| Self::Literal(text.to_owned()))
    }

    fn matches(&self, text: &str) -> bool {
        match self {
            Self::Literal(literal) => literal == text,
            Self::Any => !text.is_empty(),
        }
    }

    fn overlaps(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Literal(left), Self::Literal(right)) => left == right,
            _ => true,
        }
    }
}
