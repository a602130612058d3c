//! A look at a log's files, whoever has them open: what each holds, and where it is not what was written.

use crate::files::Files;
use crate::frame::{Damage, Header, HeaderError};
use crate::log::{marked, read, segments};
use crate::storage::Storage;
use serde::Serialize;
use std::fmt;
use std::io;
use std::path::Path;

/// What a file holds.
#[derive(Debug, Serialize)]
pub struct SegmentReport {
    /// Name of the file.
    pub file: String,
    /// Its header, or why it has none.
    #[serde(flatten)]
    pub header: HeaderReport,
    /// Length of the file, in bytes.
    pub bytes: u64,
    /// Number of valid records.
    pub records: u64,
    /// Length of an incomplete record at the end, in bytes.
    pub torn: u64,
    /// Parts that do not match their checksums.
    pub damage: Vec<Damage>,
    /// It is a copy of the file that was written.
    pub copied: bool,
}

/// A header, or what is in its place.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HeaderReport {
    /// What the segment says of itself.
    Header(Header),
    /// Why nothing can be read.
    Unreadable(String),
}

/// What a log's files hold.
#[derive(Debug, Serialize)]
pub struct Report {
    /// The segments, the oldest first.
    pub segments: Vec<SegmentReport>,
    /// Last durable sequence number, if there is a watermark.
    pub counted: Option<u64>,
    /// Whether all segments are valid and none is a copy.
    pub sound: bool,
}

/// Looks at one segment, or at a folder of them.
///
/// # Errors
///
/// The operating system's.
pub fn inspect(path: &Path) -> io::Result<Report> {
    let (folder, names) = match path.is_dir() {
        true => {
            let numbers = segments(&mut Files::look(path))?;
            (
                path,
                numbers
                    .into_iter()
                    .map(|n| format!("{n:010}.log"))
                    .collect(),
            )
        }
        false => {
            let name = path.file_name().ok_or(io::ErrorKind::NotFound)?;
            let folder = path
                .parent()
                .filter(|folder| !folder.as_os_str().is_empty());
            (
                folder.unwrap_or(Path::new(".")),
                vec![name.to_string_lossy().into_owned()],
            )
        }
    };
    let mut files = Files::look(folder);
    let mut report = Report {
        segments: Vec::new(),
        counted: None,
        sound: true,
    };
    for file in names {
        let found = read(&mut files, &file, |_, _, _| ())?;
        let (header, copied) = match found.header {
            Ok(header) => {
                report.counted = marked(&mut files, &header.log).or(report.counted);
                let copied = files.identity(&file)? != header.file;
                (HeaderReport::Header(header), copied)
            }
            Err(problem) => (HeaderReport::Unreadable(unreadable(problem)), false),
        };
        report.sound &=
            found.damage.is_empty() && !copied && matches!(header, HeaderReport::Header(_));
        report.segments.push(SegmentReport {
            file,
            header,
            bytes: found.bytes,
            records: found.records,
            torn: found.torn,
            damage: found.damage,
            copied,
        });
    }
    Ok(report)
}

fn unreadable(problem: HeaderError) -> String {
    match problem {
        HeaderError::Short => "ends within its header".into(),
        HeaderError::NotALog => "is no log".into(),
        HeaderError::Version(found) => {
            format!(
                "is of version {found}, this program reads {}",
                crate::VERSION
            )
        }
        HeaderError::Damaged => "its header is damaged".into(),
    }
}

impl fmt::Display for Report {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        for segment in &self.segments {
            let SegmentReport {
                file,
                header,
                bytes,
                records,
                torn,
                damage,
                copied,
            } = segment;
            match header {
                HeaderReport::Unreadable(why) => writeln!(to, "{file}: {bytes} bytes, {why}")?,
                HeaderReport::Header(header) => {
                    let (instance, first) = (&header.instance, header.first);
                    writeln!(
                        to,
                        "{file}: of '{instance}', {bytes} bytes, {records} records from number {first}"
                    )?;
                    if header.after_loss {
                        writeln!(to, "  begun after records were lost")?;
                    }
                }
            }
            for Damage {
                at,
                rest_unreadable,
            } in damage
            {
                let rest = if *rest_unreadable {
                    "; nothing after it can be read"
                } else {
                    ""
                };
                writeln!(to, "  damaged at byte {at}{rest}")?;
            }
            if *torn > 0 {
                writeln!(
                    to,
                    "  the last {torn} bytes are a record that was not finished"
                )?;
            }
            if *copied {
                writeln!(to, "  a copy: not the file that was written")?;
            }
        }
        match self.counted {
            Some(counted) => writeln!(to, "counted up to record {counted}")?,
            None => writeln!(to, "no mark says how far it counted")?,
        }
        writeln!(to, "{}", if self.sound { "sound" } else { "NOT SOUND" })
    }
}
