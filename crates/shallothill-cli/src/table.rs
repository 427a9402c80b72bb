//! Formats tables as aligned text.

/// `align` returns `rows` as lines with columns two spaces apart, without trailing spaces.
pub(crate) fn align(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let mut widths = vec![0; columns];
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = cell.chars().count().max(*width);
        }
    }
    let mut text = String::new();
    for row in rows {
        let cells = row.iter().zip(&widths).map(|(c, w)| format!("{c:<w$}"));
        let line = cells.collect::<Vec<_>>().join("  ");
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}

/// `row` returns a row with a fixed number of literal cells, such as a header.
pub(crate) fn row<const N: usize>(cells: [&str; N]) -> Vec<String> {
    cells.map(String::from).to_vec()
}
