//! Path patterns of kinds.

/// A path pattern: literal segments and `{name}`, which stands for any one segment.
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
    /// Reads a pattern; `None` where it doesn't start with a slash or has a stray brace.
    pub fn parse(text: &str) -> Option<Self> {
        let segments = text
            .strip_prefix('/')?
            .split('/')
            .map(Segment::parse)
            .collect::<Option<_>>()?;
        Some(Self { segments })
    }

    /// Whether a request's path, without its query, is one of this pattern's.
    pub fn matches(&self, path: &str) -> bool {
        let Some(rest) = path.strip_prefix('/') else {
            return false;
        };
        let mut given = rest.split('/');
        self.segments
            .iter()
            .all(|segment| given.next().is_some_and(|text| segment.matches(text)))
            && given.next().is_none()
    }

    /// Whether some path fits both patterns, so that a request's kind would depend on their order.
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
