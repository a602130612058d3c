//! Inspection of a log's files, also while another process has them open: the content of each file, and the places
//! where it differs from what was written.

use crate::files::Files;
use crate::frame::{Damage, Header, HeaderError};
use crate::log::{read_segment, read_watermark, segment_numbers};
use crate::storage::Storage;
use serde::Serialize;
use std::fmt;
use std::io;
use std::path::Path;

/// The content of a segment file.
#[derive(Debug, Serialize)]
pub struct SegmentReport {
    /// Name of the file.
    pub file: String,
    /// The header of the file, or why it cannot be read.
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
    /// Whether the file is a copy of the one that was written.
    pub copied: bool,
}

/// A segment's header, or why it cannot be read.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HeaderReport {
    /// The valid header.
    Header(Header),
    /// Why nothing of the segment can be read.
    Unreadable(String),
}

/// The content of a log's files.
#[derive(Debug, Serialize)]
pub struct Report {
    /// The segments, the oldest first.
    pub segments: Vec<SegmentReport>,
    /// Last durable sequence number, if there is a watermark.
    pub counted: Option<u64>,
    /// Whether all segments are valid and none is a copy.
    pub sound: bool,
}

/// Inspects one segment, or a folder of segments.
///
/// # Errors
///
/// The error of the operating system, if a file or the folder cannot be read.
pub fn inspect(path: &Path) -> io::Result<Report> {
    let (folder, names) = match path.is_dir() {
        true => {
            let numbers = segment_numbers(&mut Files::look(path))?;
            (
                path,
                numbers
                    .into_iter()
                    .map(|number| format!("{number:010}.log"))
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
        let found = read_segment(&mut files, &file, |_, _, _| ())?;
        let (header, copied) = match found.header {
            Ok(header) => {
                report.counted = read_watermark(&mut files, &header.log).or(report.counted);
                let copied = files.identity(&file)? != header.file;
                (HeaderReport::Header(header), copied)
            }
            Err(problem) => (
                HeaderReport::Unreadable(describe_header_error(problem)),
                false,
            ),
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

fn describe_header_error(problem: HeaderError) -> String {
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
